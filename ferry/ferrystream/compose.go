package ferrystream

import (
	"strconv"
	"time"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryjson"
	"cactusferry.dev/ferry/ferryoutcome"
)

// ContentType is the media type of a streamed answer.
const ContentType = "text/event-stream"

// Format is the format of an answer.
type Format int

// The formats of answers.
const (
	FormatCompletions Format = iota
	FormatChat
)

// ComposerConfig configures a Composer.
type ComposerConfig struct {
	Format  Format
	ID      ferryid.StreamID
	Model   ferryid.ServiceName
	Created time.Time
	// Sealer creates the event ids; if it is nil, events have no ids.
	Sealer *StreamSealer
}

// Composer encodes the events of one answer; parts common to all events are encoded once.
type Composer struct {
	cfg         ComposerConfig
	tokenPrefix []byte
	tokenSuffix []byte
	finalPrefix []byte
}

// NewComposer returns a composer for one answer.
func NewComposer(cfg ComposerConfig) *Composer {
	c := &Composer{cfg: cfg}
	head := c.objectPrefix(objectName(cfg.Format, true))
	switch cfg.Format {
	case FormatChat:
		c.tokenPrefix = append(head, `"choices":[{"index":0,"delta":{"content":`...)
		c.tokenSuffix = []byte(`},"finish_reason":null}]}` + "\n\n")
		c.finalPrefix = c.finalEventPrefix(`"delta":{}`)
	default:
		c.tokenPrefix = append(head, `"choices":[{"index":0,"text":`...)
		c.tokenSuffix = []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
		c.finalPrefix = c.finalEventPrefix(`"text":"","logprobs":null`)
	}
	return c
}

func objectName(f Format, chunk bool) string {
	switch {
	case f == FormatChat && chunk:
		return "chat.completion.chunk"
	case f == FormatChat:
		return "chat.completion"
	}
	return "text_completion"
}

func (c *Composer) objectPrefix(object string) []byte {
	b := []byte(`{"id":`)
	b = ferryjson.AppendString(b, string(c.cfg.ID))
	b = append(b, `,"object":"`...)
	b = append(b, object...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, c.cfg.Created.Unix(), 10)
	b = append(b, `,"model":`...)
	b = ferryjson.AppendString(b, string(c.cfg.Model))
	return append(b, ',')
}

func (c *Composer) finalEventPrefix(choice string) []byte {
	b := append([]byte("data: "), c.objectPrefix(objectName(c.cfg.Format, true))...)
	b = append(b, `"choices":[{"index":0,`...)
	b = append(b, choice...)
	return append(b, `,"finish_reason":`...)
}

// Start appends the event before the first token: in the chat format, the one with the role.
func (c *Composer) Start(b []byte) []byte {
	if c.cfg.Format != FormatChat {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, c.objectPrefix(objectName(FormatChat, true))...)
	return append(b, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`+"\n\n"...)
}

// Token appends one token's event.
func (c *Composer) Token(b []byte, t Token) []byte {
	if c.cfg.Sealer != nil {
		c.cfg.Sealer.Add(t)
		b = append(b, "id: "...)
		b = c.cfg.Sealer.AppendID(b)
		b = append(b, '\n')
	}
	b = append(b, "data: "...)
	b = append(b, c.tokenPrefix...)
	b = ferryjson.AppendString(b, t.Text)
	return append(b, c.tokenSuffix...)
}

// Skip includes a token that the caller already has in the ids of later events.
func (c *Composer) Skip(t Token) {
	if c.cfg.Sealer != nil {
		c.cfg.Sealer.Add(t)
	}
}

// Heartbeat appends a comment, so that the connection is not idle.
func (c *Composer) Heartbeat(b []byte) []byte {
	return append(b, ": heartbeat\n\n"...)
}

// Done appends the events that end a complete answer, with the finish reason "length" or "stop".
func (c *Composer) Done(b []byte, reason string) []byte {
	b = append(b, c.finalPrefix...)
	b = ferryjson.AppendString(b, reason)
	return append(b, "}]}\n\ndata: [DONE]\n\n"...)
}

// Failed appends the event that ends an incomplete answer; no [DONE] follows.
func (c *Composer) Failed(b []byte, p *ferryoutcome.Problem) []byte {
	b = append(b, "event: error\ndata: {\"error\":{\"type\":"...)
	b = ferryjson.AppendString(b, string(p.Kind))
	b = append(b, `,"message":`...)
	b = ferryjson.AppendString(b, p.Detail)
	b = append(b, `,"Outcome":`...)
	b = ferryjson.AppendString(b, string(p.Outcome))
	return append(b, "}}\n\n"...)
}

// CompleteAnswer appends the JSON body of an answer that is not streamed.
func (c *Composer) CompleteAnswer(b []byte, text, reason string, promptTokens, tokens int) []byte {
	b = append(b, c.objectPrefix(objectName(c.cfg.Format, false))...)
	if c.cfg.Format == FormatChat {
		b = append(b, `"choices":[{"index":0,"message":{"role":"assistant","content":`...)
		b = ferryjson.AppendString(b, text)
		b = append(b, '}')
	} else {
		b = append(b, `"choices":[{"index":0,"text":`...)
		b = ferryjson.AppendString(b, text)
		b = append(b, `,"logprobs":null`...)
	}
	b = append(b, `,"finish_reason":`...)
	b = ferryjson.AppendString(b, reason)
	b = append(b, `}],"usage":{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(promptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(tokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(promptTokens+tokens), 10)
	return append(b, "}}\n"...)
}
