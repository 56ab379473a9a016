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

// Shape is the form of answers that a caller asked for.
type Shape int

// The shapes of answers.
const (
	ShapeCompletions Shape = iota
	ShapeChat
)

// ComposerConfig sets up a Composer.
type ComposerConfig struct {
	Shape   Shape
	ID      ferryid.StreamID
	Model   ferryid.ServiceName
	Created time.Time
	// Sealer makes the event ids; without one there are none.
	Sealer *StreamSealer
}

// Composer writes one answer's events onto byte slices; what is the same in each is encoded once.
type Composer struct {
	cfg    ComposerConfig
	before []byte
	after  []byte
	last   []byte
}

// NewComposer returns a composer for one answer.
func NewComposer(cfg ComposerConfig) *Composer {
	c := &Composer{cfg: cfg}
	head := c.head(objectName(cfg.Shape, true))
	switch cfg.Shape {
	case ShapeChat:
		c.before = append(head, `"choices":[{"index":0,"delta":{"content":`...)
		c.after = []byte(`},"finish_reason":null}]}` + "\n\n")
		c.last = c.finish(`"delta":{}`)
	default:
		c.before = append(head, `"choices":[{"index":0,"text":`...)
		c.after = []byte(`,"logprobs":null,"finish_reason":null}]}` + "\n\n")
		c.last = c.finish(`"text":"","logprobs":null`)
	}
	return c
}

func objectName(s Shape, chunk bool) string {
	switch {
	case s == ShapeChat && chunk:
		return "chat.completion.chunk"
	case s == ShapeChat:
		return "chat.completion"
	}
	return "text_completion"
}

func (c *Composer) head(object string) []byte {
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

func (c *Composer) finish(choice string) []byte {
	b := append([]byte("data: "), c.head(objectName(c.cfg.Shape, true))...)
	b = append(b, `"choices":[{"index":0,`...)
	b = append(b, choice...)
	return append(b, `,"finish_reason":`...)
}

// Start appends what comes before the first token: the role, in the chat shape.
func (c *Composer) Start(b []byte) []byte {
	if c.cfg.Shape != ShapeChat {
		return b
	}
	b = append(b, "data: "...)
	b = append(b, c.head(objectName(ShapeChat, true))...)
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
	b = append(b, c.before...)
	b = ferryjson.AppendString(b, t.Text)
	return append(b, c.after...)
}

// Skip counts a token that the caller already has, so that later ids cover it.
func (c *Composer) Skip(t Token) {
	if c.cfg.Sealer != nil {
		c.cfg.Sealer.Add(t)
	}
}

// Heartbeat appends a comment that keeps the connection from looking silent.
func (c *Composer) Heartbeat(b []byte) []byte {
	return append(b, ": heartbeat\n\n"...)
}

// Done appends the events that end a whole answer, with the reason "length" or "stop".
func (c *Composer) Done(b []byte, reason string) []byte {
	b = append(b, c.last...)
	b = ferryjson.AppendString(b, reason)
	return append(b, "}]}\n\ndata: [DONE]\n\n"...)
}

// Failed appends the event that ends an answer which is not whole; no [DONE] follows.
func (c *Composer) Failed(b []byte, p *ferryoutcome.Problem) []byte {
	b = append(b, "event: error\ndata: {\"error\":{\"type\":"...)
	b = ferryjson.AppendString(b, string(p.Kind))
	b = append(b, `,"message":`...)
	b = ferryjson.AppendString(b, p.Detail)
	b = append(b, `,"Outcome":`...)
	b = ferryjson.AppendString(b, string(p.Outcome))
	return append(b, "}}\n\n"...)
}

// Whole appends the single JSON answer of a call that asked for no stream.
func (c *Composer) Whole(b []byte, text, reason string, promptTokens, tokens int) []byte {
	b = append(b, c.head(objectName(c.cfg.Shape, false))...)
	if c.cfg.Shape == ShapeChat {
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
