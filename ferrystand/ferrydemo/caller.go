package ferrydemo

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Chunk is one piece of a streamed answer.
type Chunk struct {
	ID   string
	Text string
}

// Caller calls one entry as a customer's program would.
type Caller struct {
	Entry  string
	Key    string
	http   *http.Client
	scheme string
}

func (c Caller) client() *http.Client {
	if c.http == nil {
		return http.DefaultClient
	}
	return c.http
}

func (c Caller) url(path string) string {
	return cmp.Or(c.scheme, "http://") + c.Entry + path
}

// Do sends one call and returns the whole answer.
func (c Caller) Do(ctx context.Context, method, path, body string, header http.Header) (int, http.Header, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.url(path), strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	w, err := c.client().Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return w.StatusCode, w.Header, string(b), err
}

// Stream asks for a completion and calls each for every piece; it returns an error unless the stream ended with [DONE].
func (c Caller) Stream(ctx context.Context, body, lastEventID string, each func(Chunk)) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url("/v1/completions"), strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.Key)
	if lastEventID != "" {
		r.Header.Set("Last-Event-ID", lastEventID)
	}
	w, err := c.client().Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(w.Body)
		return &StatusError{Status: w.StatusCode, Header: w.Header, Body: string(b)}
	}
	return readEvents(w.Body, each)
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	Header http.Header
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

func readEvents(r io.Reader, each func(Chunk)) error {
	s := bufio.NewScanner(r)
	id := ""
	for s.Scan() {
		line := s.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		text, err := chunkText(data)
		if err != nil {
			return err
		}
		if text != "" {
			each(Chunk{ID: id, Text: text})
		}
	}
	if err := s.Err(); err != nil {
		return err
	}
	return fmt.Errorf("the stream ended without [DONE]")
}

func chunkText(data string) (string, error) {
	var v struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &v); err != nil {
		return "", fmt.Errorf("chunk %q: %w", data, err)
	}
	if v.Error != nil {
		return "", fmt.Errorf("the stream failed: %s", data)
	}
	if len(v.Choices) == 0 {
		return "", nil
	}
	return v.Choices[0].Text, nil
}
