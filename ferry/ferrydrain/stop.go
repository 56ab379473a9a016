package ferrydrain

import (
	"fmt"
	"slices"
	"time"
)

// Stage is the progress of a planned stop.
type Stage uint8

// The stages of a planned stop, in order.
const (
	// StageServing accepts all work.
	StageServing Stage = iota
	// StageGrace is absent from new steering answers but accepts work from callers with older ones.
	StageGrace
	// StageDraining refuses new work as NotRun and waits for open work.
	StageDraining
	// StageClosing hands over or releases what the platform and the peers hold for this entry.
	StageClosing
	// StageStopped is the final stage.
	StageStopped
)

func (s Stage) String() string {
	return [...]string{"Serving", "Grace", "Draining", "Closing", "Stopped"}[s]
}

// Task is a closing task of a planned stop. It may need the platform or a peer.
type Task string

// The tasks of a planned stop, in order.
const (
	// TaskFlush writes recorded outcomes to the platform.
	TaskFlush Task = "Flush"
	// TaskHandOver transfers the tickets to another entry.
	TaskHandOver Task = "HandOver"
	// TaskLeases releases the leases.
	TaskLeases Task = "Leases"
)

var closingTasks = []Task{TaskFlush, TaskHandOver, TaskLeases}

const (
	taskAttempts   = 3
	taskTimeout    = 5 * time.Second
	taskRetryDelay = time.Second
)

// StopConfig configures a planned stop.
type StopConfig struct {
	// Grace is how long callers may still use older steering answers.
	Grace time.Duration
	// Limit is the maximum time from the signal until open work is abandoned; 0 means no limit.
	Limit time.Duration
}

// Open is the amount of open work.
type Open struct {
	Calls   int
	Streams int
}

// Left is what a stop could not finish.
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

// StopAction is an action that the entry must perform in a planned stop.
type StopAction interface{ isStopAction() }

// LeaveSteering removes the entry from steering answers, its own and those of its peers.
type LeaveSteering struct{}

// RefuseNew makes the entry refuse new work as NotRun and refer callers to other entries.
type RefuseNew struct{}

// RunTask runs a task with a timeout.
type RunTask struct {
	Task    Task
	Timeout time.Duration
}

// ReportOpen reports the open work to the operator.
type ReportOpen struct{ Open Open }

// Exit ends the process and reports what was left.
type Exit struct{ Left Left }

func (LeaveSteering) isStopAction() {}
func (RefuseNew) isStopAction()     {}
func (RunTask) isStopAction()       {}
func (ReportOpen) isStopAction()    {}
func (Exit) isStopAction()          {}

// Stop is the state machine of one planned stop.
type Stop struct {
	cfg       StopConfig
	stage     Stage
	startedAt time.Time
	tasks     []Task
	running   bool
	attempts  int
	retryAt   time.Time
	left      Left
}

// NewStop returns the state machine of an entry that serves.
func NewStop(cfg StopConfig) *Stop {
	return &Stop{cfg: cfg, tasks: slices.Clone(closingTasks), left: Left{Tasks: map[Task]string{}}}
}

// Stage returns the current stage.
func (s *Stop) Stage() Stage {
	return s.stage
}

// Signal handles a stop signal: the first starts the stop, each later one reports the open work.
func (s *Stop) Signal(now time.Time, open Open) []StopAction {
	if s.stage != StageServing {
		return []StopAction{ReportOpen{open}}
	}
	s.stage = StageGrace
	s.startedAt = now
	return []StopAction{LeaveSteering{}}
}

// Next advances the stop and returns the actions to perform now.
func (s *Stop) Next(now time.Time, open Open) []StopAction {
	if s.stage == StageGrace && !now.Before(s.startedAt.Add(s.cfg.Grace)) {
		// Work that arrived before the refusal took effect is counted by the next call.
		s.stage = StageDraining
		return []StopAction{RefuseNew{}}
	}
	if s.stage == StageDraining && (open == Open{} || s.limitReached(now)) {
		s.stage = StageClosing
		s.left.Open = open
	}
	if s.stage == StageClosing {
		return s.close(now)
	}
	return nil
}

func (s *Stop) limitReached(now time.Time) bool {
	return s.cfg.Limit > 0 && !now.Before(s.startedAt.Add(s.cfg.Limit))
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

// Done records the outcome of the running task. After taskAttempts failures the task is left undone.
func (s *Stop) Done(now time.Time, err error) {
	s.running = false
	if err != nil && s.attempts < taskAttempts {
		s.retryAt = now.Add(taskRetryDelay)
		return
	}
	if err != nil {
		s.left.Tasks[s.tasks[0]] = err.Error()
	}
	s.tasks = s.tasks[1:]
	s.attempts = 0
}
