package ferrystandplain_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferrystand/ferrystandplain"
)

func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults ferrystandplain.Faults
		want   string
		ran    int
	}{
		{"no fault", ferrystandplain.Faults{}, "200 complete", 1},
		{"leaving", ferrystandplain.Faults{Leaving: true}, "503 NotRun", 0},
		{"cut before read", ferrystandplain.Faults{CutBeforeRead: 1}, "no answer", 0},
		{"cut after run", ferrystandplain.Faults{CutAfterRun: 1}, "no answer", 1},
		{"cut in body", ferrystandplain.Faults{CutInBody: 1}, "200 cut", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := ferrystandplain.New("parlour-1", clockwork.NewRealClock())
			srv := httptest.NewServer(s)
			defer srv.Close()
			s.SetFaults(tt.faults)
			assert.Equal(t, post(t.Context(), srv.URL+"/feed/7"), tt.want)
			assert.Equal(t, len(s.Records()), tt.ran)
			s.SetFaults(ferrystandplain.Faults{})
			assert.Equal(t, post(t.Context(), srv.URL+"/feed/8"), "200 complete")
		})
	}
}

func TestSilentRunsWithoutAnswer(t *testing.T) {
	s := ferrystandplain.New("parlour-1", clockwork.NewRealClock())
	s.SetFaults(ferrystandplain.Faults{Silent: true})
	srv := httptest.NewServer(s)
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan string, 1)
	go func() { done <- post(ctx, srv.URL+"/feed/7") }()
	for len(s.Records()) == 0 {
		select {
		case got := <-done:
			t.Fatalf("answered %s", got)
		default:
		}
	}
	cancel()
	assert.Equal(t, <-done, "no answer")
}

func post(ctx context.Context, url string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("3 kg"))
	if err != nil {
		return err.Error()
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return res.Status[:3] + " " + res.Header.Get("Outcome")
	}
	if _, err := io.ReadAll(res.Body); err != nil {
		return "200 cut"
	}
	return "200 complete"
}
