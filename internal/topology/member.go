package topology

import (
	"errors"
	"fmt"
)

const (
	maxNameBytes = 200     // the store accepts no longer keys
	maxCores     = 1 << 12 // far above the processors of any host
)

// Validate returns an error if no instance can be reached by what the entry of one states. Entries may be written by
// other software.
func (m Member) Validate() error {
	switch addr := m.Addr.Addr(); {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return errors.New("name is missing or too long")
	case len(m.Hall) > maxNameBytes:
		return errors.New("hall is too long")
	case !addr.IsValid() || addr.IsUnspecified() || addr.IsMulticast() || m.Addr.Port() == 0:
		return fmt.Errorf("address %s is not a unicast address with a port", m.Addr)
	case !(m.Cores >= 0 && m.Cores <= maxCores):
		return fmt.Errorf("%v cores are out of range", m.Cores)
	}
	return nil
}
