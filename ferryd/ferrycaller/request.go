package ferrycaller

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryservice"
)

// TimeoutHeader is the request header with the caller's timeout for the complete answer, in seconds.
const TimeoutHeader = "Request-Timeout"

const (
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
)

// Completion is a completion request in the common format; fields not listed are ignored.
type Completion struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Seed                *int64          `json:"seed"`

	text string
}

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func badRequest(format string, args ...any) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindBadRequest, ferryoutcome.NotRun, format, args...)
}

// decodeCompletion decodes and validates a completion request, or a chat completion request if chat is true.
func decodeCompletion(body []byte, chat bool) (*Completion, *ferryoutcome.Problem) {
	var c Completion
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(&c); err != nil {
		return nil, badRequest("The body is not the JSON of a completion request: %s.", err)
	}
	if d.More() {
		return nil, badRequest("The body has more after its JSON object; send one object.")
	}
	if c.Model == "" {
		return nil, badRequest("The field model is missing; set it to the service's name.")
	}
	if n := c.maxTokens(); n < 1 || n > maxMaxTokens {
		return nil, badRequest("The field max_tokens is %d; it must be from 1 to %d.", n, maxMaxTokens)
	}
	var p *ferryoutcome.Problem
	if chat {
		c.text, p = c.chatText()
	} else {
		c.text, p = c.promptText()
	}
	return &c, p
}

func (c *Completion) maxTokens() int {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	}
	return defaultMaxTokens
}

func (c *Completion) promptText() (string, *ferryoutcome.Problem) {
	var s string
	if err := json.Unmarshal(c.Prompt, &s); err == nil && s != "" {
		return s, nil
	}
	var list []string
	if err := json.Unmarshal(c.Prompt, &list); err == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", badRequest("The field prompt must be a text that is not empty, or a list of one.")
}

func (c *Completion) chatText() (string, *ferryoutcome.Problem) {
	if len(c.Messages) == 0 {
		return "", badRequest("The field messages is missing or empty.")
	}
	var b strings.Builder
	for i, m := range c.Messages {
		text, ok := contentText(m.Content)
		if m.Role == "" || !ok {
			return "", badRequest("messages[%d] must have a role and a content that is a text or a list of texts.", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

func contentText(raw json.RawMessage) (string, bool) {
	var s string
	if err := json.Unmarshal(raw, &s); err == nil {
		return s, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// seedOrDefault returns the caller's seed, or one computed from the prompt, so that a repeated request
// gives the same text.
func (c *Completion) seedOrDefault() uint64 {
	if c.Seed != nil {
		return uint64(*c.Seed)
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, c.text)
	return h.Sum64()
}

// readBody reads the whole body within the body timeout and the size limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *ferryoutcome.Problem) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(s.Clock.Now().Add(s.Limits.BodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		return b, nil
	}
	// The read deadline is kept, so that net/http does not wait for the rest of the body before it answers.
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(limit)
	}
	p := ferryoutcome.New(ferryoutcome.KindTimeout, ferryoutcome.NotRun, "The body did not arrive within %s; send it faster.", s.Limits.BodyTimeout)
	p.Status = http.StatusRequestTimeout
	return nil, p
}

func tooLarge(limit int64) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindTooLarge, ferryoutcome.NotRun, "The body is over the limit of %d bytes; send less.", limit)
}

// deadline returns the earlier of the service's and the caller's deadline.
func (s *Server) deadline(r *http.Request, limit ferryservice.Duration) (time.Time, *ferryoutcome.Problem) {
	d := time.Duration(limit)
	if v := r.Header.Get(TimeoutHeader); v != "" {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f > 0 && f <= maxTimeoutSeconds) {
			return time.Time{}, badRequest("The header %s must be a number of seconds from 0 to %d.", TimeoutHeader, maxTimeoutSeconds)
		}
		d = min(d, time.Duration(f*float64(time.Second)))
	}
	return s.Clock.Now().Add(d), nil
}

const maxTimeoutSeconds = 86400

// bearerToken returns the caller's key, empty if there is none.
func bearerToken(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(key)
}

func unauthorized() *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindUnauthorized, ferryoutcome.NotRun,
		"The key is missing or belongs to no customer; send it as Authorization: Bearer KEY.")
}

func notFound(name string) *ferryoutcome.Problem {
	return ferryoutcome.New(ferryoutcome.KindNotFound, ferryoutcome.NotRun, "There is no service %.80q here; check the name.", name)
}

// caller is the authenticated caller of one request.
type caller struct {
	id       ferryid.RequestID
	doc      *ferryservice.Document
	customer ferryservice.Customer
	key      string
}

// authenticate finds the service and the customer; unless kind is empty, the service must be of that kind.
func (s *Server) authenticate(r *http.Request, service string, kind ferryservice.Kind) (*caller, *ferryoutcome.Problem) {
	doc, ok := s.Documents.Document(ferryid.ServiceName(service))
	if !ok || (kind != "" && doc.Kind != kind) {
		return nil, notFound(service)
	}
	key := bearerToken(r)
	if key == "" {
		return nil, unauthorized()
	}
	cu, ok := s.Documents.Customer(doc.Service, key)
	if !ok {
		return nil, unauthorized()
	}
	callInfoOf(r.Context()).customer = cu.Name
	return &caller{id: requestID(r), doc: doc, customer: cu, key: key}, nil
}
