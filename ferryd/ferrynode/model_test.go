package ferrynode

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cactusferry.dev/ferry/ferrydrain"
	"cactusferry.dev/ferry/ferryengine"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryoutcome"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferry/ferryqueue"
	"cactusferry.dev/ferry/ferryroute"
	"cactusferry.dev/ferry/ferryservice"
)

func TestAcquireRefusesWithoutUsableUpstream(t *testing.T) {
	tests := []struct {
		name      string
		upstreams string
	}{
		{"no upstreams", ""},
		{"all upstreams leaving", "[[Upstreams]]\nName = \"a\"\nAddress = \"127.0.0.1:1\"\nFailureDomain = \"d\"\nLeaving = true\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			clock := clockwork.NewFakeClock()
			events := ferryevent.NewLog(clock, "test", 10)
			n := &Node{services: newServices(clock, ferryengine.New(ferryengine.ClientConfig{Clock: clock}), events)}
			d, err := ferryservice.Decode("test", []byte("Service = \"parlour-api\"\nTeam = \"t\"\nKind = \"Plain\"\n"+tt.upstreams))
			assert.NilError(t, err)
			n.services.setDocument(ctx, &d)
			_, err = (&models{node: n}).Acquire(ctx, &d, ferryqueue.Item{ID: "r", Customer: "c", Predicted: 1})
			var p *ferryoutcome.Problem
			assert.Assert(t, errors.As(err, &p), "%v", err)
			assert.Equal(t, p.Kind, ferryoutcome.KindUnavailable)
			assert.Equal(t, p.Outcome, ferryoutcome.NotRun)
			assert.Assert(t, p.RetryAfter > 0)
		})
	}
}

func TestOnlyUpstreamIsRetriedAfterFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := newServices(clock, ferryengine.New(ferryengine.ClientConfig{Clock: clock}), ferryevent.NewLog(clock, "test", 10))
	d, err := ferryservice.Decode("test", []byte("Service = \"parlour-api\"\nTeam = \"t\"\nKind = \"Plain\"\n[[Upstreams]]\nName = \"a\"\nAddress = \"127.0.0.1:1\"\nFailureDomain = \"d\"\nSlots = 8\n"))
	assert.NilError(t, err)
	s.setDocument(ctx, &d)
	sv, _ := s.get("parlour-api")
	assert.Equal(t, sv.slots(), 8)
	sv.table.Start("a", 1, clock.Now()).Fail(ferryroute.FailureConnection, clock.Now())
	assert.Equal(t, sv.slots(), 1, "one trial call must be allowed to detect the recovery")
	sv.table.SetLeaving("a", true)
	assert.Equal(t, sv.slots(), 0)
}

func TestLeavingIncarnationGetsNoWork(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := newServices(clock, ferryengine.New(ferryengine.ClientConfig{Clock: clock}), ferryevent.NewLog(clock, "test", 10))
	d, err := ferryservice.Decode("test", []byte("Service = \"parlour-api\"\nTeam = \"t\"\nKind = \"Plain\"\n[[Upstreams]]\nName = \"a\"\nAddress = \"127.0.0.1:1\"\nFailureDomain = \"d\"\nSlots = 8\n"))
	assert.NilError(t, err)
	s.setDocument(ctx, &d)
	list := func(id ferryid.Incarnation) {
		s.setInstances(ferryplatform.Instances{{Name: "a", Role: ferryplatform.RolePlain, Service: "parlour-api", Address: "127.0.0.1:1", Incarnation: id}})
	}
	list("first")
	marks := ferrydrain.NewMarks(clock)
	marks.Seen("parlour-api", "a", "first")
	marks.Mark("parlour-api", "a", "", ferrydrain.SourceUpstream)
	assert.DeepEqual(t, s.setMarks(marks), []string{"parlour-api/a"})
	sv, _ := s.get("parlour-api")
	assert.Equal(t, sv.slots(), 0)
	list("second")
	marks.Seen("parlour-api", "a", "second")
	s.setMarks(marks)
	assert.Equal(t, sv.slots(), 8, "a new incarnation must take work")
}
