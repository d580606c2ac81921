package origin

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// This file explores all orders of what can happen to one stream of a service with two versions and three
// instances, with the product's own records and conclusions.
//
// Two things are taken for granted, as the delays that they need are stated in docs/design/stream-versions.md:
// an instance is not lost before it has sent the record of a stream that began at a version which another
// instance does not know yet, and a version serves until the leader has recorded it.

const (
	modelInstances = 3
	modelSteps     = 8
	modelLife      = 10 * time.Second // for which versions are remembered
	modelResumable = 7 * time.Second  // for which the stream can be resumed
	modelTick      = 3 * time.Second
)

// modelInstance is one instance. Each holds the records of all streams, as there are as many as holders.
type modelInstance struct {
	alive, cut bool // cut off from the store and from the others
	current    bool // its list of endpoints is up to date
	queued     bool // the record of its stream was not sent
	own, held  *Table
	versions   *Versions
}

// model is the state after some steps.
type model struct {
	life     time.Duration
	resume   func(k Knowledge) (version string, ok bool)
	now      time.Time
	serving  []string
	recorded Recorded
	all      [modelInstances]*modelInstance
	begun    Record // zero before
}

const modelStream, modelService = "s", "svc"

func (m *model) observed() map[string][]string {
	return map[string][]string{modelService: slices.Clone(m.serving)}
}

func (m *model) start(i int) {
	x := &modelInstance{alive: true, current: true, own: NewTable(8), held: NewTable(8), versions: NewVersions(m.life)}
	if m.recorded != nil {
		x.versions.Restore(m.recorded)
	}
	x.versions.Observe(m.observed(), m.now)
	m.all[i] = x
}

// newModel returns a fleet that has run for long with one version.
func newModel(life time.Duration, resume func(Knowledge) (string, bool)) *model {
	m := &model{life: life, resume: resume, now: start, serving: []string{"v1"}}
	for i := range m.all {
		m.start(i)
	}
	m.now = m.now.Add(2 * life)
	m.record()
	return m
}

// record has the leader, which is the first instance that reaches the store, record the versions.
func (m *model) record() {
	for _, x := range m.all {
		if x.alive && !x.cut {
			m.recorded, _ = x.versions.Record(m.now)
			break
		}
	}
	for _, x := range m.all {
		if x.alive && !x.cut {
			x.versions.Restore(m.recorded)
		}
	}
}

// knows reports whether an instance has observed a version.
func (x *modelInstance) knows(version string) bool {
	return slices.Contains(x.versions.serving[modelService], version)
}

// losable reports whether an instance may be lost now: its record was sent, or all others know the version.
func (m *model) losable(i int) bool {
	if !m.all[i].queued {
		return true
	}
	for j, x := range m.all {
		if j != i && x.alive && !x.knows(m.begun.Version) {
			return false
		}
	}
	return true
}

// steps returns what may happen next.
func (m *model) steps() []string {
	out := []string{"tick"}
	if m.recorded != nil {
		out = append(out, "lose record")
	}
	if len(m.serving) == 1 && m.serving[0] == "v1" {
		out = append(out, "appear")
	}
	if len(m.serving) == 2 {
		out = append(out, "end v1")
		if slices.Contains(m.recorded[modelService], "v2") {
			out = append(out, "end v2")
		}
	}
	for i, x := range m.all {
		add := func(step string) { out = append(out, fmt.Sprint(step, i)) }
		if !x.alive {
			add("start ")
			continue
		}
		if m.losable(i) {
			add("kill ")
		}
		if x.cut {
			add("heal ")
			continue
		}
		if m.losable(i) {
			add("cut ")
		}
		if !slices.Equal(x.versions.serving[modelService], m.serving) {
			add("observe ")
		}
		if x.queued {
			add("send ")
		}
		if m.begun.Stream == "" {
			for _, v := range m.serving {
				if x.knows(v) {
					add("begin " + v + " ")
				}
			}
		}
	}
	return out
}

func (m *model) apply(step string) {
	words := strings.Fields(step)
	i := int(step[len(step)-1] - '0') // of the instance, if the step names one
	switch words[0] {
	case "tick":
		m.now = m.now.Add(modelTick)
		for _, x := range m.all {
			switch {
			case x.alive && x.cut:
				x.current = false
				x.versions.Interrupt(m.now)
			case x.alive:
				m.observe(x)
			}
		}
		m.record()
	case "lose": // the store is restored from a backup without it
		m.recorded = nil
		for _, x := range m.all {
			if x.alive && !x.cut {
				x.versions.RecordLost()
			}
		}
	case "appear":
		m.serving = []string{"v1", "v2"}
	case "end":
		m.serving = slices.DeleteFunc(slices.Clone(m.serving), func(v string) bool { return v == words[1] })
	case "observe":
		m.observe(m.all[i])
	case "start":
		m.start(i)
	case "kill":
		m.all[i] = &modelInstance{}
	case "cut":
		m.all[i].cut = true
	case "heal":
		m.all[i].cut = false
		if !m.all[i].current {
			m.observe(m.all[i])
			m.all[i].current = true
			if m.recorded != nil {
				m.all[i].versions.Restore(m.recorded)
			}
		}
	case "begin":
		m.begun = Record{Stream: modelStream, Service: modelService, Version: words[1], Until: m.now.Add(modelResumable)}
		m.all[i].own.Put(m.begun)
		versions, complete := m.all[i].versions.Candidates(modelService, m.now)
		m.all[i].queued = len(versions) > 1 || !complete
	case "send":
		m.all[i].queued = false
		for _, x := range m.all {
			if x.alive && !x.cut {
				x.held.Put(m.begun)
			}
		}
	}
}

// observe applies the list of endpoints at an instance, which sends the record of its open stream once there
// are two versions.
func (m *model) observe(x *modelInstance) {
	if split := x.versions.Observe(m.observed(), m.now); len(split) > 0 && len(x.own.All(m.now)) > 0 {
		x.queued = true
	}
}

// knowledge returns what an instance tells of the stream.
func (m *model) knowledge(x *modelInstance) (r Record, found bool, k Knowledge) {
	for _, t := range []*Table{x.own, x.held} {
		if r, ok := t.Get(modelStream, m.now); ok {
			return r, true, k
		}
	}
	k.Versions, k.Complete = x.versions.Candidates(modelService, m.now)
	k.Complete = k.Complete && x.current
	return r, false, k
}

// find returns the version at which the stream goes on if the client resumes it at an instance.
func (m *model) find(i int) (version string, ok bool) {
	r, found, known := m.knowledge(m.all[i])
	if found {
		return r.Version, true
	}
	answers := 0
	for j, x := range m.all {
		if j == i || !x.alive || x.cut || m.all[i].cut {
			continue
		}
		r, found, k := m.knowledge(x)
		if found {
			return r.Version, true
		}
		answers++
		known = known.With(k)
	}
	if answers == 0 && m.all[i].cut {
		return "", false
	}
	if answers == 0 {
		known = known.With(Knowledge{Versions: m.serving}) // read from the store
	}
	return m.resume(known)
}

// key identifies the state, whatever the names of the instances.
func (m *model) key() string {
	var all []string
	for _, x := range m.all {
		if !x.alive {
			all = append(all, "-")
			continue
		}
		v := x.versions
		ended := make(map[string]time.Duration)
		for version, at := range v.ended[modelService] {
			if age := m.now.Sub(at); age < m.life {
				ended[version] = age
			}
		}
		all = append(all, fmt.Sprint(x.cut, x.current, x.queued, x.own.Len(), x.held.Len(), min(m.life, m.now.Sub(v.since)), v.serving[modelService], ended, v.recorded[modelService]))
	}
	sort.Strings(all)
	left := time.Duration(0)
	if m.begun.Stream != "" {
		left = max(0, m.begun.Until.Sub(m.now))
	}
	return fmt.Sprint(all, m.serving, m.recorded[modelService], m.begun.Stream, m.begun.Version, left)
}

// explore explores all orders of steps and returns the first in which a stream would go on at another version,
// with the number of states.
func explore(life time.Duration, resume func(Knowledge) (string, bool)) (violation []string, states, resumed, refused int) {
	replay := func(path []string) *model {
		m := newModel(life, resume)
		for _, step := range path {
			m.apply(step)
		}
		return m
	}
	seen := make(map[string]bool)
	level := [][]string{nil}
	for range modelSteps + 1 {
		var next [][]string
		for _, path := range level {
			m := replay(path)
			key := m.key()
			if seen[key] {
				continue
			}
			seen[key] = true
			if m.begun.Stream != "" && m.now.Before(m.begun.Until) {
				for i, x := range m.all {
					if !x.alive {
						continue
					}
					switch version, ok := m.find(i); {
					case !ok:
						refused++
					case version != m.begun.Version:
						return append(path, fmt.Sprint("resume ", i)), len(seen), resumed, refused
					default:
						resumed++
					}
				}
			}
			if len(path) == modelSteps {
				continue
			}
			for _, step := range m.steps() {
				next = append(next, append(slices.Clone(path), step))
			}
		}
		level = next
	}
	return nil, len(seen), resumed, refused
}

func TestNoOrderOfEventsJoinsTwoVersions(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	violation, states, resumed, refused := explore(modelLife, Knowledge.OnlyVersion)
	t.Logf("%d states, %d resumptions, %d refused, %v", states, resumed, refused, time.Since(begun))
	is.Equal(violation, nil)
	is.True(resumed > refused)
}

func TestTheModelFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]struct {
		life   time.Duration
		resume func(Knowledge) (string, bool)
	}{
		"versions are forgotten before a stream of theirs": {modelResumable - time.Second, Knowledge.OnlyVersion},
		"a version is guessed": {modelLife, func(k Knowledge) (string, bool) {
			return k.Versions[len(k.Versions)-1], true
		}},
		"what is not known counts as absent": {modelLife, func(k Knowledge) (string, bool) {
			return k.Versions[0], len(k.Versions) == 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			violation, states, _, _ := explore(plant.life, plant.resume)
			t.Logf("%d states, %v", states, violation)
			if violation == nil {
				t.Error("not found")
			}
		})
	}
}
