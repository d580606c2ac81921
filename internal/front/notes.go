package front

import (
	"context"
	"sync"
	"time"

	"github.com/shelfcrank/shelfcrank/internal/balance"
	"github.com/shelfcrank/shelfcrank/internal/loadreport"
	"github.com/shelfcrank/shelfcrank/internal/peerpb"
	"github.com/shelfcrank/shelfcrank/internal/place"
	"github.com/shelfcrank/shelfcrank/internal/settings"
	"github.com/shelfcrank/shelfcrank/internal/topology"
)

// Times of notes to hubs. A note reports progress of a request that a hub placed.
const (
	noteBatchDelay = 8 * time.Millisecond // notes to one hub are sent in one call; those on plain requests at once, see plainNotes
	noteTimeout    = 600 * time.Millisecond
	// An older load report is not sent: the longest half-life of a reported slowdown is as long.
	maxSentReportAge = 2 * time.Second
)

// queuedNote is a note to be sent about a request at an endpoint.
type queuedNote struct {
	*peerpb.Note
	endpoint string // ID
}

// serveNotes applies notes that an instance sends to this hub.
func (p *placer) serveNotes(notes []*peerpb.Note, answer func(*peerpb.Answer) error) error {
	for _, note := range notes {
		p.applyNote(note)
	}
	return answer(&peerpb.Answer{Body: &peerpb.Answer_Done{Done: &peerpb.Done{}}})
}

// applyNote applies a note to a request that this hub placed. The load report comes first, since the
// slowdown counts in what is learned from the progress.
func (p *placer) applyNote(note *peerpb.Note) {
	if l := note.Load; l != nil {
		p.applyReport(note.Ticket, l)
	}
	p.scheduler.Update(place.Progress{Ticket: note.Ticket, PromptRead: note.Read, Done: note.Done, Result: balance.Result(note.Result), Declined: note.Declined}, p.instance.Clock.Now())
}

// applyReport records what the endpoint of a request that this hub placed reported to the instance that
// sent the request.
func (p *placer) applyReport(ticket uint64, l *peerpb.LoadReport) {
	endpoint, open := p.scheduler.Endpoint(ticket)
	if !open {
		return // ended at its deadline, or its instance is gone
	}
	at := p.instance.Clock.Now().Add(-max(0, time.Duration(l.Age)))
	p.instance.loads.Observe(&endpoint, loadreport.Report{Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots), Slowdown: l.Slowdown}, at)
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
		p.plainNotes.add(o.hub.Name, queuedNote{note, o.Endpoint})
		return
	}
	p.mu.Lock()
	if queue := p.notes[o.hub.Name]; len(queue) < maxQueuedNotes {
		p.notes[o.hub.Name] = append(queue, queuedNote{note, o.Endpoint})
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
	sent := make(sentReports)
	for awaitSignal(ctx, p.notesQueued) && p.instance.Clock.Sleep(ctx, noteBatchDelay) {
		p.mu.Lock()
		all := p.notes
		p.notes = make(map[string][]queuedNote, len(all))
		p.mu.Unlock()
		hubs := p.instance.state.members.topology()
		now := p.instance.Clock.Now()
		sent.expire(now)
		for name, queue := range all {
			hub := hubs.Hub(name)
			if !hub.Addr.IsValid() {
				continue // no longer a hub
			}
			notes := p.withReports(name, queue, sent, now)
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

// withReports returns the notes queued for a hub, with the load reports of their endpoints.
func (p *placer) withReports(hub string, queue []queuedNote, sent sentReports, now time.Time) []*peerpb.Note {
	notes := make([]*peerpb.Note, 0, len(queue))
	for _, q := range queue {
		q.Load = p.reportFor(hub, q.endpoint, sent, now)
		notes = append(notes, q.Note)
	}
	return notes
}

// sentReports holds the times of the latest load reports that were sent to hubs.
type sentReports map[sentReport]time.Time

type sentReport struct{ hub, endpoint string }

// expire drops the times of reports that are too old to be sent again.
func (s sentReports) expire(now time.Time) {
	for key, at := range s {
		if now.Sub(at) > maxSentReportAge {
			delete(s, key)
		}
	}
}

// reportFor returns the latest load report of an endpoint, nil if it is too old or the hub has been sent
// it before.
func (p *placer) reportFor(hub, endpoint string, sent sentReports, now time.Time) *peerpb.LoadReport {
	if p.instance.Settings.Overload == (settings.Overload{}) {
		return nil
	}
	r, at, known := p.instance.loads.Latest(endpoint)
	key := sentReport{hub, endpoint}
	if !known || now.Sub(at) > maxSentReportAge || !at.After(sent[key]) {
		return nil
	}
	sent[key] = at
	return &peerpb.LoadReport{Running: int64(r.Running), Waiting: int64(r.Waiting), Slots: int64(r.Slots), Slowdown: r.Slowdown, Age: int64(max(0, now.Sub(at)))}
}
