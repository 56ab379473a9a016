package ferrystream

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
)

const (
	minKeyBytes   = 16
	keyIDBytes    = 4
	saltBytes     = 16
	counterBytes  = 4
	nonceBytes    = 12
	derivedBytes  = 16
	tokenVersion  = 1
	headerBytes   = 1 + keyIDBytes + saltBytes + counterBytes
	maxTokenBytes = 2048
	maxClockSkew  = time.Minute
	defaultMaxAge = time.Hour
	// keyIssued to keyHistory are the CBOR keys of the fields of Resume that change with each token.
	// cborByte is the initial byte of a CBOR number whose value follows in one byte; the next initial bytes
	// mean two, four and eight bytes.
	keyIssued     = 7
	keyEpoch      = 8
	keyNext       = 9
	keyHistory    = 10
	cborByte      = 24
	derivePurpose = "cactusferry resume token"
)

var (
	encoding  = base64.RawURLEncoding
	decMode   = mustDecMode()
	encMode   = mustEncMode()
	errNoKeys = fmt.Errorf("a sealer needs at least one key")
)

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 32,
		IndefLength: cbor.IndefLengthForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustEncMode() cbor.UserBufferEncMode {
	m, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// SealerConfig configures a Sealer.
type SealerConfig struct {
	// Keys are the secrets shared by all entries. The first seals new tokens; all open tokens.
	Keys [][]byte
	// MaxAge is the maximum age of a token; 0 means one hour.
	MaxAge time.Duration
	// Clock is the source of the times of issue; nil means the system's clock.
	Clock clockwork.Clock
}

type sealKey struct {
	id     [keyIDBytes]byte
	secret []byte
}

// Sealer creates and opens resume tokens.
type Sealer struct {
	keys   []sealKey
	maxAge time.Duration
	clock  clockwork.Clock
}

// NewSealer returns a sealer, or an error if there are no keys or one is too short.
func NewSealer(cfg SealerConfig) (*Sealer, error) {
	s := &Sealer{maxAge: cfg.MaxAge, clock: cfg.Clock}
	if len(cfg.Keys) == 0 {
		return nil, errNoKeys
	}
	for i, k := range cfg.Keys {
		if len(k) < minKeyBytes {
			return nil, fmt.Errorf("key %d must have at least %d bytes, has %d", i, minKeyBytes, len(k))
		}
		sum := sha256.Sum256(append([]byte(derivePurpose), k...))
		s.keys = append(s.keys, sealKey{id: [keyIDBytes]byte(sum[:keyIDBytes]), secret: k})
	}
	if s.maxAge <= 0 {
		s.maxAge = defaultMaxAge
	}
	if s.clock == nil {
		s.clock = clockwork.NewRealClock()
	}
	return s, nil
}

func (k sealKey) derive(salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, k.secret, salt, derivePurpose, derivedBytes)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// Stream returns the sealer of one stream's tokens. It has a derived key of its own,
// so that a counter is a safe nonce.
func (s *Sealer) Stream(r Resume) (*StreamSealer, error) {
	r.Epoch = max(1, r.Epoch)
	if err := r.Check(); err != nil {
		return nil, err
	}
	out := &StreamSealer{resume: r, clock: s.clock}
	out.header[0] = tokenVersion
	copy(out.header[1:], s.keys[0].id[:])
	salt := out.header[1+keyIDBytes : 1+keyIDBytes+saltBytes]
	if _, err := rand.Read(salt); err != nil {
		return nil, err
	}
	head, err := encodeFixedFields(r)
	if err != nil {
		return nil, err
	}
	out.fixedFields = head
	out.aead, err = s.keys[0].derive(salt)
	return out, err
}

// encodeFixedFields encodes the fields of r that do not change, which precede those of appendVariableFields.
func encodeFixedFields(r Resume) ([]byte, error) {
	r.Issued, r.Epoch, r.Next, r.History = 0, 0, 0, 0
	var b bytes.Buffer
	if err := encMode.MarshalToBuffer(&r, &b); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), appendVariableFields(nil, &r)), nil
}

// StreamSealer creates the resume tokens of one stream on one entry.
type StreamSealer struct {
	resume  Resume
	clock   clockwork.Clock
	aead    cipher.AEAD
	header  [headerBytes]byte
	nonce   [nonceBytes]byte
	counter uint32
	// fixedFields is the encoding of the fields that are the same in each token.
	fixedFields []byte
	plain       []byte
	sealed      []byte
}

// appendVariableFields appends the fields of r that change with each token; they are the last in key order.
func appendVariableFields(b []byte, r *Resume) []byte {
	b = appendField(b, keyIssued, uint64(r.Issued))
	b = appendField(b, keyEpoch, uint64(r.Epoch))
	b = appendField(b, keyNext, uint64(r.Next))
	return appendField(b, keyHistory, uint64(r.History))
}

// appendField appends a small key and an unsigned number in the shortest CBOR encoding.
func appendField(b []byte, key byte, n uint64) []byte {
	b = append(b, key)
	switch {
	case n < cborByte:
		return append(b, byte(n))
	case n <= math.MaxUint8:
		return append(b, cborByte, byte(n))
	case n <= math.MaxUint16:
		return binary.BigEndian.AppendUint16(append(b, cborByte+1), uint16(n))
	case n <= math.MaxUint32:
		return binary.BigEndian.AppendUint32(append(b, cborByte+2), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, cborByte+3), n)
}

// Add records a token as delivered.
func (s *StreamSealer) Add(t Token) {
	s.resume.Epoch = t.Epoch
	s.resume.Next = t.Position + 1
	s.resume.History = s.resume.History.Add(t.Text)
}

// AppendID appends the resume token for the tokens delivered so far.
func (s *StreamSealer) AppendID(b []byte) []byte {
	s.resume.Issued = s.clock.Now().UnixMilli()
	s.plain = appendVariableFields(append(s.plain[:0], s.fixedFields...), &s.resume)
	s.counter++
	binary.BigEndian.PutUint32(s.header[headerBytes-counterBytes:], s.counter)
	copy(s.nonce[nonceBytes-counterBytes:], s.header[headerBytes-counterBytes:])
	s.sealed = append(s.sealed[:0], s.header[:]...)
	s.sealed = s.aead.Seal(s.sealed, s.nonce[:], s.plain, s.header[:])
	return encoding.AppendEncode(b, s.sealed)
}

// Open opens a token and checks that it belongs to the given customer, service and request and
// has not expired.
func (s *Sealer) Open(token string, c ferryid.CustomerName, service ferryid.ServiceName, request Digest) (Resume, error) {
	r, err := s.decode(token)
	if err != nil {
		return Resume{}, err
	}
	switch {
	case r.Customer != c:
		return Resume{}, &ForeignError{Field: "customer"}
	case r.Service != service:
		return Resume{}, &ForeignError{Field: "service"}
	case r.Request != request:
		return Resume{}, &RequestError{}
	}
	age := s.clock.Now().Sub(r.IssuedAt())
	if age > s.maxAge {
		return Resume{}, &ExpiredError{Age: age, Max: s.maxAge}
	}
	if age < -maxClockSkew {
		return Resume{}, &ForgedError{Detail: "it comes from the future"}
	}
	return r, nil
}

func (s *Sealer) decode(token string) (Resume, error) {
	if len(token) > maxTokenBytes {
		return Resume{}, &ForgedError{Detail: "it is too long"}
	}
	b, err := encoding.DecodeString(token)
	if err != nil || len(b) <= headerBytes || b[0] != tokenVersion {
		return Resume{}, &ForgedError{Detail: "it is damaged"}
	}
	header, sealed := b[:headerBytes], b[headerBytes:]
	key, ok := s.key(header)
	if !ok {
		return Resume{}, &ForgedError{Detail: "its key is not known here"}
	}
	aead, err := key.derive(header[1+keyIDBytes : 1+keyIDBytes+saltBytes])
	if err != nil {
		return Resume{}, err
	}
	var nonce [nonceBytes]byte
	copy(nonce[nonceBytes-counterBytes:], header[headerBytes-counterBytes:])
	plain, err := aead.Open(nil, nonce[:], sealed, header)
	if err != nil {
		return Resume{}, &ForgedError{Detail: "its seal is broken"}
	}
	var r Resume
	if err := decMode.Unmarshal(plain, &r); err != nil {
		return Resume{}, &ForgedError{Detail: err.Error()}
	}
	if err := r.Check(); err != nil {
		return Resume{}, &ForgedError{Detail: err.Error()}
	}
	return r, nil
}

func (s *Sealer) key(header []byte) (sealKey, bool) {
	for _, k := range s.keys {
		if [keyIDBytes]byte(header[1:1+keyIDBytes]) == k.id {
			return k, true
		}
	}
	return sealKey{}, false
}
