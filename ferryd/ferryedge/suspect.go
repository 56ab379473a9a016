package ferryedge

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusferry.dev/ferry/ferryduty"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferrysuspect"
)

const (
	topicReports ferrypeer.TopicName = "prompt parts"
	maxReports                       = 1024
	// maxCrashReports is the number of reported crashes that are kept for each entry.
	maxCrashReports = 32
	// trialStep is how long each group of entries may try a part whose block has ended before a group of twice the
	// size may, too.
	trialStep = 2 * time.Second
)

// dutyTrial is the duty of trying a blocked prompt part again.
const dutyTrial ferryduty.Duty = "trial"

func (e *Edge) newSuspects() {
	e.reports = ferrypeer.NewLatest[ferrysuspect.Report](ferrypeer.LatestConfig{
		Name: topicReports, Self: e.cfg.Name, Size: maxReports, Clock: e.cfg.Steady, Events: e.events,
	})
	e.suspects = ferrysuspect.New(ferrysuspect.Config{
		Clock: e.cfg.Steady, Now: e.events.Now, Publish: e.publishReport, TrialDelay: e.trialDelay, Log: e.cfg.Log, Scope: e.metrics.Scope,
	})
	e.reports.Receive(func(r ferrypeer.LatestEntry[ferrysuspect.Report]) {
		age := max(0, e.events.Now().Time().Sub(r.At.Time()))
		e.suspects.Receive(r.Value, r.At, age, r.Origin)
	})
}

// publishReport shares an observation with the other entries. Answers on the same parts replace each other.
func (e *Edge) publishReport(r ferrysuspect.Report) {
	if r.Crashed != "" {
		key := fmt.Sprintf("crash/%s/%d", e.self, e.crashReports.Add(1)%maxCrashReports)
		e.reports.Set(key, r, ferrysuspect.Retention)
		return
	}
	for _, p := range r.Parts {
		e.reports.Set(fmt.Sprintf("written/%016x/%s", xxhash.Sum64String(string(r.Service)), p), ferrysuspect.Report{Service: r.Service, Parts: []ferrysuspect.PartID{p}}, ferrysuspect.Retention)
	}
}

// trialDelay returns for how long this entry leaves it to others to try a part whose block has ended.
func (e *Edge) trialDelay(service ferryid.ServiceName, p ferrysuspect.PartID) time.Duration {
	ms := e.peer.Members()
	holders := ferryduty.Holders(ms, ferryduty.Duty(fmt.Sprintf("%s/%s/%s", dutyTrial, service, p)), len(ms.List))
	return trialDelayOf(slices.Index(holders, e.cfg.Name))
}

// trialDelayOf returns the delay of the entry of the given rank, from 0; each group has twice the entries of the one before.
func trialDelayOf(rank int) time.Duration {
	return trialStep * time.Duration(bits.Len(uint(max(0, rank)+1))-1)
}
