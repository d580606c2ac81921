package standin

import (
	"strings"
	"time"
)

const (
	diesAfter  = 50 * time.Millisecond // of a deadly prompt that an engine begins to read
	backAfter  = 2 * time.Second
	deadlyEnds = 3 // engines that may end under one request
)

// dieOf ends an engine that was sent a deadly prompt, and starts it again.
func (w *World) dieOf(p Place, prompt string) {
	deadly := w.Faults().DeadlyPrompt
	if deadly == "" || !strings.Contains(prompt, deadly) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth.DeadlySent++
	if w.truth.EndedUnder >= deadlyEnds {
		w.truth.DeadlySentAfter++
	}
	if w.dying[p.ID] {
		return
	}
	w.dying[p.ID] = true
	w.deaths++
	incarnation := w.deaths
	time.AfterFunc(diesAfter, func() {
		w.Kill(p.ID)
		w.mu.Lock()
		w.truth.EndedUnder++
		w.mu.Unlock()
	})
	time.AfterFunc(backAfter, func() {
		w.mu.Lock()
		w.dying[p.ID] = false
		w.mu.Unlock()
		if w.ctx.Err() == nil {
			_ = w.AddEngine(p, incarnation) // its address is free
		}
	})
}
