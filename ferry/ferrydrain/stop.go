package ferrydrain

import (
	"fmt"
	"slices"
	"time"
)

// Stage is how far a planned stop has come.
type Stage uint8

// The stages of a planned stop, in order.
const (
	// StageServing takes all work.
	StageServing Stage = iota
	// StageGrace is out of new steering answers but takes work from callers with older ones.
	StageGrace
	// StageDraining refuses new work as NotRun and waits for what is open.
	StageDraining
	// StageClosing hands over and releases what the platform and the peers hold for this entry.
	StageClosing
	// StageStopped is the end.
	StageStopped
)

func (s Stage) String() string {
	return [...]string{"Serving", "Grace", "Draining", "Closing", "Stopped"}[s]
}

// Task is one thing to hand over or release at the end; it may need the platform or a peer.
type Task string

// The tasks of a planned stop, in order.
const (
	// TaskFlush writes recorded outcomes to the platform.
	TaskFlush Task = "Flush"
	// TaskHandOver gives the tickets to an heir.
	TaskHandOver Task = "HandOver"
	// TaskLeases releases the leases.
	TaskLeases Task = "Leases"
)

var closingTasks = []Task{TaskFlush, TaskHandOver, TaskLeases}

const (
	taskAttempts = 3
	taskTimeout  = 5 * time.Second
	taskPause    = time.Second
)

// StopConfig bounds a planned stop.
type StopConfig struct {
	// Grace is how long callers may use an older steering answer.
	Grace time.Duration
	// Limit ends the wait for open work, 0 for never.
	Limit time.Duration
}

// Open counts the work that is still open.
type Open struct {
	Calls   int
	Streams int
}

// Left says what a stop could not bring to its end.
type Left struct {
	Open  Open
	Tasks map[Task]string
}

func (l Left) String() string {
	out := fmt.Sprintf("calls %d, streams %d", l.Open.Calls, l.Open.Streams)
	for _, t := range closingTasks {
		if why, ok := l.Tasks[t]; ok {
			out += fmt.Sprintf(", %s: %s", t, why)
		}
	}
	return out
}

// StopAction is what the entry has to do next in a planned stop.
type StopAction interface{ isStopAction() }

// LeaveSteering takes the entry out of steering answers, here and at the peers.
type LeaveSteering struct{}

// RefuseNew makes the entry refuse new work as NotRun, naming other entries.
type RefuseNew struct{}

// RunTask does a task with the timeout.
type RunTask struct {
	Task    Task
	Timeout time.Duration
}

// ReportOpen tells the operator what is still open.
type ReportOpen struct{ Open Open }

// Exit ends the process and says what was left.
type Exit struct{ Left Left }

func (LeaveSteering) isStopAction() {}
func (RefuseNew) isStopAction()     {}
func (RunTask) isStopAction()       {}
func (ReportOpen) isStopAction()    {}
func (Exit) isStopAction()          {}

// Stop is the pure core of one planned stop.
type Stop struct {
	cfg      StopConfig
	stage    Stage
	began    time.Time
	tasks    []Task
	running  bool
	attempts int
	retryAt  time.Time
	left     Left
}

// NewStop returns the core of an entry that serves.
func NewStop(cfg StopConfig) *Stop {
	return &Stop{cfg: cfg, tasks: slices.Clone(closingTasks), left: Left{Tasks: map[Task]string{}}}
}

// Stage returns how far the stop has come.
func (s *Stop) Stage() Stage {
	return s.stage
}

// Signal takes a stop signal: the first begins the stop, each other one reports what is open.
func (s *Stop) Signal(now time.Time, open Open) []StopAction {
	if s.stage != StageServing {
		return []StopAction{ReportOpen{open}}
	}
	s.stage = StageGrace
	s.began = now
	return []StopAction{LeaveSteering{}}
}

// Next moves the stop on and returns what to do now.
func (s *Stop) Next(now time.Time, open Open) []StopAction {
	if s.stage == StageGrace && !now.Before(s.began.Add(s.cfg.Grace)) {
		// What came in before the refusal took effect is counted at the next call.
		s.stage = StageDraining
		return []StopAction{RefuseNew{}}
	}
	if s.stage == StageDraining && (open == Open{} || s.limited(now)) {
		s.stage = StageClosing
		s.left.Open = open
	}
	if s.stage == StageClosing {
		return s.close(now)
	}
	return nil
}

func (s *Stop) limited(now time.Time) bool {
	return s.cfg.Limit > 0 && !now.Before(s.began.Add(s.cfg.Limit))
}

func (s *Stop) close(now time.Time) []StopAction {
	switch {
	case s.running || now.Before(s.retryAt):
		return nil
	case len(s.tasks) == 0:
		s.stage = StageStopped
		return []StopAction{Exit{s.left}}
	}
	s.running = true
	s.attempts++
	return []StopAction{RunTask{s.tasks[0], taskTimeout}}
}

// Done takes the outcome of a task; a task that keeps failing is left undone after a few tries.
func (s *Stop) Done(now time.Time, err error) {
	s.running = false
	if err != nil && s.attempts < taskAttempts {
		s.retryAt = now.Add(taskPause)
		return
	}
	if err != nil {
		s.left.Tasks[s.tasks[0]] = err.Error()
	}
	s.tasks = s.tasks[1:]
	s.attempts = 0
}
