package front

import (
	"context"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of notes to hubs. A note reports progress of a request that a hub placed.
const (
	noteBatchDelay = 8 * time.Millisecond // notes to one hub are sent in one call; those on plain requests at once, see plainNotes
	noteTimeout    = 600 * time.Millisecond
)

// serveNotes applies notes that an instance sends to this hub.
func (p *placer) serveNotes(notes []*peerpb.Note, answer func(*peerpb.Answer) error) error {
	for _, note := range notes {
		p.applyNote(note)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// applyNote applies a note to a request that this hub placed.
func (p *placer) applyNote(note *peerpb.Note) {
	p.scheduler.Update(place.Progress{Ticket: note.Ticket, PromptRead: note.Read, Done: note.Done, Result: balance.Result(note.Result)}, p.instance.Clock.Now())
}

// noteObserver reports the progress of a request to the hub that placed it. It implements
// balance.Observer.
type noteObserver struct {
	placer *placer
	offer  hubOffer
}

// PromptRead implements balance.Observer.
func (n *noteObserver) PromptRead() { n.placer.note(n.offer, &peerpb.Note{Read: true}) }

// Done implements balance.Observer.
func (n *noteObserver) Done(result balance.Result) {
	n.placer.note(n.offer, &peerpb.Note{Done: true, Result: int32(result)})
}

// note queues a note for the hub that made an offer, without blocking. A note for this
// instance is applied at once.
func (p *placer) note(o hubOffer, note *peerpb.Note) {
	note.Ticket = o.Ticket
	if o.hub.Name == p.instance.Settings.Name {
		p.applyNote(note)
		return
	}
	if o.plain {
		p.plainNotes.add(o.hub.Name, note)
		return
	}
	p.mu.Lock()
	if queue := p.notes[o.hub.Name]; len(queue) < maxQueuedNotes {
		p.notes[o.hub.Name] = append(queue, note)
	}
	p.mu.Unlock()
	select {
	case p.notesQueued <- struct{}{}:
	default:
	}
}

// maxQueuedNotes bounds the notes queued for one hub. If a note is dropped, the hub ends the
// request at its deadline.
const maxQueuedNotes = 4096

// sendNotes sends queued notes to the hubs until ctx ends.
func (p *placer) sendNotes(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for awaitSignal(ctx, p.notesQueued) && p.instance.Clock.Sleep(ctx, noteBatchDelay) {
		p.mu.Lock()
		all := p.notes
		p.notes = make(map[string][]*peerpb.Note, len(all))
		p.mu.Unlock()
		hubs := p.instance.state.members.topology()
		for name, notes := range all {
			hub := hubs.Hub(name)
			if !hub.Addr.IsValid() {
				continue // no longer a hub
			}
			wait.Go(func() { p.deliverNotes(ctx, hub, notes) })
		}
	}
	return ctx.Err()
}

// deliverNotes sends notes to a hub. If they are lost, the hub ends the requests at their deadlines.
func (p *placer) deliverNotes(ctx context.Context, hub topology.Member, notes []*peerpb.Note) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	_, _ = p.instance.peers.Call(ctx, hub.Addr, &peerpb.Call{Body: &peerpb.Call_Notes{Notes: &peerpb.Notes{Notes: notes}}})
}
