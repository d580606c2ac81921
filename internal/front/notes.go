package front

import (
	"context"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
)

// Times and sizes of notes to hubs.
const (
	noteGather  = 8 * time.Millisecond // notes to a hub travel together
	noteTimeout = 600 * time.Millisecond
)

// serveNotes takes notes.
func (p *placer) serveNotes(notes []*peerpb.Note, answer func(*peerpb.Answer) error) error {
	for _, note := range notes {
		p.take(note)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

func (p *placer) take(note *peerpb.Note) {
	p.desk.Note(place.Note{Ticket: note.Ticket, Read: note.Read, Done: note.Done, Result: balance.Result(note.Result)}, p.instance.Clock.Now())
}

// noter reports to a hub how a request goes on. It implements balance.Observer.
type noter struct {
	placer *placer
	offer  offered
}

// Read implements balance.Observer.
func (n *noter) Read() { n.placer.note(n.offer, &peerpb.Note{Read: true}) }

// Done implements balance.Observer.
func (n *noter) Done(result balance.Result) {
	n.placer.note(n.offer, &peerpb.Note{Done: true, Result: int32(result)})
}

// note reports to a hub on a request that it placed. It does not block.
func (p *placer) note(o offered, note *peerpb.Note) {
	note.Ticket = o.Ticket
	if o.hub.Name == p.instance.Settings.Name {
		p.take(note)
		return
	}
	p.mu.Lock()
	if queue := p.notes[o.hub.Name]; len(queue) < mostNotes {
		p.notes[o.hub.Name] = append(queue, note)
	}
	p.mu.Unlock()
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// mostNotes bounds what waits for one hub. What is dropped ends at its deadline.
const mostNotes = 4096

// sendNotes sends notes to the hubs.
func (p *placer) sendNotes(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for kicked(ctx, p.kick) && p.instance.Clock.Sleep(ctx, noteGather) {
		p.mu.Lock()
		all := p.notes
		p.notes = make(map[string][]*peerpb.Note, len(all))
		p.mu.Unlock()
		hubs := p.instance.state.members.topology()
		for name, notes := range all {
			hub := hubs.Named(name)
			if !hub.Addr.IsValid() {
				continue // no hub any more
			}
			wait.Go(func() {
				call, cancel := context.WithTimeout(ctx, noteTimeout)
				defer cancel()
				// A lost note is made good by the deadline of its request.
				_, _ = p.instance.peers.Call(call, hub.Addr, &peerpb.Call{Body: &peerpb.Call_Notes{Notes: &peerpb.Notes{Notes: notes}}})
			})
		}
	}
	return ctx.Err()
}
