package ferryorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// differingAnswer returns an answer in which each engine reports the wanted state of the given generation.
func differingAnswer(g int) GroupAnswer {
	var ans GroupAnswer
	for i, r := range wantedAt(g).Engines {
		ans.Differ = append(ans.Differ, GroupReport{Place: i, Report: Report{Target: r.Target, Ready: true}})
	}
	return ans
}

// reportAll reports the wanted state of generation 1 for all engines.
func reportAll(c *Core, now time.Time) {
	for _, r := range wantedAt(1).Engines {
		c.ApplyReport(r.Name, Report{Target: r.Target, Ready: true}, now)
	}
}

func TestOutdatedAnswersAreIgnored(t *testing.T) {
	for _, tc := range []struct {
		name    string
		between func(c *Core, now time.Time)
		reason  Reason
		waiting int
	}{
		{"read started before the tenure", func(c *Core, _ time.Time) { c.SetFence(2) }, ReasonUnread, 6},
		{"read started under another document", func(c *Core, _ time.Time) { c.SetWanted(wantedAt(3)) }, ReasonUnread, 6},
		{"read started before the order", func(c *Core, now time.Time) {
			reportAll(c, now)
			c.Next(now)
		}, ReasonPending, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1_800_000_000, 0)
			c := NewCore(Pace{})
			c.SetWanted(wantedAt(2))
			c.SetFence(1)
			late := c.Due(now)[0]
			tc.between(c, now)
			c.ApplyAnswer(late, GroupAnswer{}, now)
			sends, blocked := c.Next(now)
			n := 0
			for _, b := range blocked {
				if b.Reason == tc.reason {
					n++
				}
			}
			assert.Equal(t, n, tc.waiting, "orders %v, blocked %v", sends, blocked)
		})
	}
}

func TestOlderReadDoesNotOverrideNewer(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(2))
	c.SetFence(1)
	c.ApplyAnswer(c.Due(now)[0], differingAnswer(1), now)
	sends, _ := c.Next(now)
	assert.Assert(t, len(sends) > 0)
	now = now.Add(time.Second)
	older := c.Due(now)[0]
	c.ApplyAnswer(c.Due(now)[0], GroupAnswer{}, now)
	c.ApplyAnswer(older, differingAnswer(1), now)
	again, _ := c.Next(now)
	for _, a := range again {
		for _, s := range sends {
			assert.Assert(t, a.Name != s.Name, "%s gets a second order after an outdated read", a.Name)
		}
	}
}

func TestReadBeforeRefusalIsIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCore(Pace{})
	c.SetWanted(wantedAt(2))
	c.SetFence(1)
	reportAll(c, now)
	sends, _ := c.Next(now)
	late := c.Due(now.Add(time.Second))[0]
	for _, s := range sends {
		c.OrderRefused(s.Name)
	}
	c.ApplyAnswer(late, GroupAnswer{}, now)
	_, blocked := c.Next(now)
	n := 0
	for _, b := range blocked {
		if b.Reason == ReasonUnread {
			n++
		}
	}
	assert.Equal(t, n, len(sends), "%v", blocked)
}
