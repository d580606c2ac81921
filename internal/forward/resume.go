package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/shelfcrank/shelfcrank/internal/event"
	"github.com/shelfcrank/shelfcrank/internal/origin"
	"github.com/shelfcrank/shelfcrank/internal/registry"
	"github.com/shelfcrank/shelfcrank/internal/resume"
)

// A stream holds events of one software version. Once its first event has come, only endpoints of the same
// version may send the rest: to this request, by way of another instance, or to a later request of the client.

// resumes reports whether the client requests the rest of a stream that it has the beginning of.
func (q *request) resumes() bool { return q.route.Resumable && q.meta.LastEventID != "" }

// stream returns the ID of the request that the first event of the stream came with, or comes with if this one
// begins it.
func (q *request) stream() string {
	if q.resumes() && q.meta.Resumes != "" {
		return q.meta.Resumes
	}
	return q.meta.ID
}

// findOrigin directs a request for the rest of a stream to the version that began it.
func (h *Handler) findOrigin(ctx context.Context, q *request) *denial {
	if !q.resumes() || q.began {
		return nil
	}
	found := h.Origins.Find(ctx, q.meta.Resumes, q.service)
	if found.Source == resume.OnlyVersion && q.meta.Resumes == "" && len(q.route.Split) > 1 {
		found.Source = resume.Unknown // the client does not name the request by which the service was chosen
	}
	fields := []zap.Field{
		zap.String("request", q.meta.ID), zap.String("stream", q.meta.Resumes), zap.String("after", q.meta.LastEventID),
		zap.String("service", found.Service), zap.String("version", found.Version), zap.String("source", string(found.Source)),
		zap.Strings("versions", found.Versions), zap.Int("asked", found.Asked), zap.Int("answers", found.Answers), zap.Strings("silent", found.Silent),
	}
	if !found.Known() {
		h.event(event.StreamOriginUnknown, fields...)
		return &denial{status: http.StatusServiceUnavailable, why: "the version that began the stream is not known", wait: waitElsewhere}
	}
	h.event(event.StreamResumedByClient, fields...)
	if !q.route.Uses(found.Service) {
		return &denial{status: http.StatusServiceUnavailable, why: "the service that began the stream no longer serves the route", wait: waitElsewhere}
	}
	q.service, q.began, q.version = found.Service, true, found.Version
	q.lastEventID = q.meta.LastEventID // the client has the events up to it
	return nil
}

// endpoints returns the endpoints that the request may be sent to.
func (q *request) endpoints(v *View) []registry.Endpoint {
	if q.began {
		return v.EndpointsOf(q.service, q.version)
	}
	return v.Endpoints[q.service]
}

// EndpointsOf returns the endpoints of a service that accept requests for the rest of streams that began at a
// version. During a roll-out these include endpoints that get no new streams, unless their version is the
// target or was rejected.
func (v *View) EndpointsOf(service, version string) []registry.Endpoint {
	of := func(all []registry.Endpoint) []registry.Endpoint {
		return lo.Filter(all, func(e registry.Endpoint, _ int) bool { return e.Service == service && e.Version == version })
	}
	if out := of(v.Endpoints[service]); len(out) > 0 {
		return out
	}
	if out := of(v.TrialEndpoints[service]); len(out) > 0 {
		return out
	}
	if r, ok := v.Rollouts[service]; ok && version != r.Target && !slices.Contains(r.Rejected, version) {
		return of(v.Listed)
	}
	return nil
}

// noEndpointOfVersion is the denial for the rest of a stream whose version has no endpoint.
func (h *Handler) noEndpointOfVersion(q *request) *denial {
	return &denial{
		status: h.statusUnlessRun(q, http.StatusServiceUnavailable), why: "no endpoint of the version that began the stream", wait: waitNoEndpoint,
		fields: []zap.Field{zap.String("service", q.service)},
	}
}

var errOtherVersion = errors.New("endpoint of another version than the one that began the stream")

// beginStream records, before the first event of a response is passed on, at which version the stream began. It
// reports false if the event must not be passed on, as the stream began at another version.
func (h *Handler) beginStream(q *request, version string) bool {
	if q.began && version != q.version {
		h.event(event.InvariantBroken, zap.String("invariant", "a stream holds events of one software version"), zap.String("request", q.meta.ID), zap.String("began_at", q.version), zap.String("version", version))
		return false
	}
	q.began, q.version = true, version
	if q.route.Resumable {
		h.Origins.Began(origin.Record{Stream: q.stream(), Service: q.service, Version: version, Until: q.resumableUntil()})
	}
	return true
}

// resumableUntil returns until when the client may resume the stream of this request.
func (q *request) resumableUntil() time.Time {
	return q.arrived.Add(max(q.route.Timeout, q.meta.Timeout))
}

// completeStream records that a stream was passed on to its end.
func (h *Handler) completeStream(q *request) {
	if q.began && q.route.Resumable {
		h.Origins.Completed(q.stream())
	}
}
