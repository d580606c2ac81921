package standin

import (
	"strings"
	"time"
)

const (
	crashDelay       = 50 * time.Millisecond // from the arrival of a deadly prompt to the crash of the engine
	restartDelay     = 2 * time.Second       // from the arrival of a deadly prompt to the restart of the engine
	maxDeadlyCrashes = 3                     // engines that may crash on one request before the system must stop sending it
)

// crashOnDeadlyPrompt schedules a crash and a restart of an engine if its prompt contains the deadly
// text of the faults.
func (w *World) crashOnDeadlyPrompt(p InstanceSpec, prompt string) {
	deadly := w.Faults().DeadlyPrompt
	if deadly == "" || !strings.Contains(prompt, deadly) {
		return
	}
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
	time.AfterFunc(crashDelay, func() {
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
