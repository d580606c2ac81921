package standin

import (
	"strings"
	"time"
)

const (
	crashDelay       = 50 * time.Millisecond // from the arrival of a deadly prompt to the crash of the engine
	restartDelay     = 2 * time.Second       // from then, or from the first token on a deadly part, to the restart of the engine
	maxDeadlyCrashes = 3                     // engines that may crash on one request before the system must stop sending it
)

// crashOnDeadlyPrompt schedules a crash and a restart of an engine if its prompt contains the deadly
// text of the faults.
func (w *World) crashOnDeadlyPrompt(p InstanceSpec, prompt string) {
	if deadly := w.Faults().DeadlyPrompt; deadly != "" && strings.Contains(prompt, deadly) {
		w.scheduleCrash(p, crashDelay)
	}
}

// crashOnDeadlyPart crashes an engine that begins an answer, if its prompt contains the deadly part of the faults.
// It reports whether it does.
func (w *World) crashOnDeadlyPart(p InstanceSpec, prompt string) bool {
	deadly := w.Faults().DeadlyPart
	if deadly == "" || !strings.Contains(prompt, deadly) {
		return false
	}
	w.scheduleCrash(p, 0)
	return true
}

// scheduleCrash counts a run of a deadly prompt, and crashes its engine after a delay unless that is scheduled.
func (w *World) scheduleCrash(p InstanceSpec, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth.DeadlySent++
	if w.truth.EndedUnder >= maxDeadlyCrashes {
		w.truth.DeadlySentAfter++
	}
	if w.crashing[p.ID] {
		return
	}
	w.crashing[p.ID] = true
	w.crashes++
	incarnation := w.crashes
	time.AfterFunc(delay, func() {
		w.Kill(p.ID)
		w.mu.Lock()
		w.truth.EndedUnder++
		w.mu.Unlock()
	})
	time.AfterFunc(restartDelay, func() {
		w.mu.Lock()
		w.crashing[p.ID] = false
		w.mu.Unlock()
		if w.ctx.Err() == nil {
			_ = w.AddEngine(p, incarnation) // the engine's address is free again
		}
	})
}
