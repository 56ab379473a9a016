package ferryclaim

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
)

const maxSealedBytes = 16 << 20

// Seal encrypts and authenticates tickets and handovers with keys that all entries share.
type Seal struct {
	aeads []cipher.AEAD
}

// NewSeal returns a seal that encrypts with the first key and decrypts with any; keys have 16,
// 24 or 32 bytes.
func NewSeal(keys ...[]byte) (*Seal, error) {
	if len(keys) == 0 {
		return nil, errors.New("a seal needs at least one key")
	}
	s := &Seal{}
	for i, k := range keys {
		block, err := aes.NewCipher(k)
		if err != nil {
			return nil, merry.Prepend(err, fmt.Sprintf("seal key %d", i))
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, merry.Prepend(err, fmt.Sprintf("seal key %d", i))
		}
		s.aeads = append(s.aeads, aead)
	}
	return s, nil
}

func (s *Seal) seal(purpose string, plain []byte) []byte {
	a := s.aeads[0]
	nonce := make([]byte, a.NonceSize())
	_, _ = rand.Read(nonce)
	return a.Seal(nonce, nonce, plain, []byte(purpose))
}

func (s *Seal) open(purpose string, sealed []byte) ([]byte, error) {
	if len(sealed) > maxSealedBytes {
		return nil, fmt.Errorf("sealed text of %d bytes is too long", len(sealed))
	}
	for _, a := range s.aeads {
		if len(sealed) < a.NonceSize() {
			break
		}
		nonce, text := sealed[:a.NonceSize()], sealed[a.NonceSize():]
		if plain, err := a.Open(nil, nonce, text, []byte(purpose)); err == nil {
			return plain, nil
		}
	}
	return nil, errors.New("not sealed with a key of ours")
}
