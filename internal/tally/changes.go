package tally

import "math"

// Changes keeps the latest counts of several sources by name, with the version at which each count
// last changed. A receiver that has all counts of a version is sent only those that changed since.
// The zero value is ready to use.
type Changes struct {
	version int64
	names   []string
	index   map[string]int // of names
	sources map[Source]*versionedCounts
}

// versionedCounts are the counts of one source, by index of a name.
type versionedCounts struct {
	values    []int64
	changedAt []int64 // version, 0 for a count that the source does not have
}

// Change is a count that changed.
type Change struct {
	Index int // of the name
	Value int64
}

// Version returns the latest version. It increases with each change.
func (c *Changes) Version() int64 { return c.version }

// Name returns the name with an index. The index of a name never changes.
func (c *Changes) Name(index int) string { return c.names[index] }

// Set sets the counts of a source, rounded to integers. Names that are missing keep their counts.
func (c *Changes) Set(from Source, counts Counts[string, float64]) {
	if c.sources == nil {
		c.index, c.sources = make(map[string]int), make(map[Source]*versionedCounts)
	}
	s := c.sources[from]
	if s == nil {
		s = &versionedCounts{}
		c.sources[from] = s
	}
	next := c.version + 1
	for name, count := range counts {
		i, ok := c.index[name]
		if !ok {
			i = len(c.names)
			c.index[name], c.names = i, append(c.names, name)
		}
		for len(s.values) <= i {
			s.values, s.changedAt = append(s.values, 0), append(s.changedAt, 0)
		}
		if value := int64(math.Round(count)); s.changedAt[i] == 0 || s.values[i] != value {
			s.values[i], s.changedAt[i], c.version = value, next, next
		}
	}
}

// Retain drops the sources for which keep returns false.
func (c *Changes) Retain(keep func(Source) bool) {
	for from := range c.sources {
		if !keep(from) {
			delete(c.sources, from)
		}
	}
}

// Since returns the counts of a source that changed after a version; 0 returns all.
func (c *Changes) Since(from Source, version int64) []Change {
	s := c.sources[from]
	if s == nil {
		return nil
	}
	var out []Change
	for i, at := range s.changedAt {
		if at > version {
			out = append(out, Change{i, s.values[i]})
		}
	}
	return out
}
