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

// Chunk is one event with text of a streamed completion.
type Chunk struct {
	ID   string
	Text string
}

// Caller is a client of one entry with a customer's key.
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

// Do sends one call and returns the status, the header and the body of the answer.
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

// Stream requests a completion and calls each for every chunk.
// It returns an error unless the stream ended with [DONE].
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

// StatusError reports an answer with a status other than 200.
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
	return fmt.Errorf("read completion stream: connection ended before [DONE]")
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
		return "", fmt.Errorf("decode chunk %q: %w", data, err)
	}
	if v.Error != nil {
		return "", fmt.Errorf("completion stream ended with an error event: %s", data)
	}
	if len(v.Choices) == 0 {
		return "", nil
	}
	return v.Choices[0].Text, nil
}
