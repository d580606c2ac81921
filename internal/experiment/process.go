package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/shelfcrank/shelfcrank/internal/deployment"
	"github.com/shelfcrank/shelfcrank/internal/gateway"
	"github.com/shelfcrank/shelfcrank/internal/standin"
	"github.com/shelfcrank/shelfcrank/internal/table"
)

// Processes is a deployment whose entry instances and stand-ins run as separate
// processes on loopback: one for all stand-ins and one for each entry instance.
type Processes struct {
	spec         *deployment.Spec
	base         int
	dir          string
	platformAddr netip.AddrPort
	http         *http.Client

	mu      sync.Mutex
	standin *exec.Cmd
	entries map[int]*exec.Cmd // guarded by mu
}

// StartProcesses starts the stand-ins and all entry instances. Their settings
// and logs are written to dir. If onDemand is set, the engines run on on-demand
// instances instead of reclaimable ones. The cells in system are added to the
// default row of the initial table.
func StartProcesses(spec *deployment.Spec, base int, seed uint64, dir string, onDemand bool, system ...table.Cell) (*Processes, error) {
	set, err := spec.StandinSettings(base, seed, system...)
	if err != nil {
		return nil, err
	}
	for i := range set.Engine {
		set.Engine[i].OnDemand = onDemand
	}
	p := &Processes{spec: spec, base: base, dir: dir, platformAddr: set.List, http: &http.Client{Timeout: 5 * time.Second}, entries: make(map[int]*exec.Cmd)}
	file := filepath.Join(dir, "standin.toml")
	if err := writeTOML(file, set); err != nil {
		return nil, err
	}
	if p.standin, err = p.start("standin", "standin", "-settings", file); err != nil {
		return nil, err
	}
	for i := range spec.Entries {
		if err := p.StartEntry(i); err != nil {
			p.Stop()
			return nil, err
		}
	}
	return p, nil
}

func writeTOML(file string, v any) error {
	b, err := toml.Marshal(v)
	if err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	return os.WriteFile(file, b, 0o600)
}

// start runs this executable with args as a new process. Its standard error goes
// to the file log.log in the directory of the deployment.
func (p *Processes) start(log string, args ...string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", log, err)
	}
	out, err := os.OpenFile(filepath.Join(p.dir, log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", log, err)
	}
	defer out.Close()
	cmd := exec.Command(self, args...)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", log, err)
	}
	return cmd, nil
}

// StartEntry starts the i-th entry instance.
func (p *Processes) StartEntry(i int) error {
	set := p.spec.EntrySettings(p.base, i)
	file := filepath.Join(p.dir, set.Name+".toml")
	if err := writeTOML(file, set); err != nil {
		return err
	}
	cmd, err := p.start(set.Name, "serve", "-settings", file)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[i] = cmd
	return nil
}

// removeEntry removes the i-th entry instance from the running ones and returns
// its process, or nil.
func (p *Processes) removeEntry(i int) *exec.Cmd {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.entries[i]
	delete(p.entries, i)
	return cmd
}

// Signal sends a signal to the i-th entry instance.
func (p *Processes) Signal(i int, s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cmd := p.entries[i]; cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// KillEntry kills the process of the i-th entry instance and waits for its end.
func (p *Processes) KillEntry(i int) {
	if cmd := p.removeEntry(i); cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// StopEntry makes a planned stop of the i-th entry instance and waits for its
// end. It fails if the process exits with an error, as it does when it could not
// hand over all requests.
func (p *Processes) StopEntry(i int) error {
	cmd := p.removeEntry(i)
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	return cmd.Wait()
}

// Stop kills all processes and waits for their end.
func (p *Processes) Stop() {
	for i := range p.spec.Entries {
		p.KillEntry(i)
	}
	_ = p.standin.Process.Kill()
	_ = p.standin.Wait()
}

// Callers returns the addresses at which the entry instances accept callers.
func (p *Processes) Callers() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range p.spec.Entries {
		out = append(out, p.spec.EntrySettings(p.base, i).Caller)
	}
	return out
}

// callPlatform sends a request to the control API of the platform stand-in and
// decodes the JSON response into out unless out is nil.
func (p *Processes) callPlatform(ctx context.Context, method, path string, in io.Reader, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.platformAddr.String()+path, in)
	if err != nil {
		return err
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in %s: %s", path, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// Truth returns the counts of the stand-ins.
func (p *Processes) Truth(ctx context.Context) (standin.Truth, error) {
	var t standin.Truth
	return t, p.callPlatform(ctx, http.MethodGet, "/truth", nil, &t)
}

// SetFaults replaces the faults that the stand-ins simulate.
func (p *Processes) SetFaults(ctx context.Context, f standin.Faults) error {
	b, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return p.callPlatform(ctx, http.MethodPut, "/faults", strings.NewReader(string(b)), nil)
}

// Reclaim makes the platform stand-in announce the reclaim of a hall or, if hall
// is empty, of the instance with the given ID. entries says whether the entry
// instances of the hall are reclaimed too.
func (p *Processes) Reclaim(ctx context.Context, hall, id string, notice time.Duration, entries bool) error {
	path := "/reclaim?notice_ms=" + strconv.Itoa(int(notice.Milliseconds())) + "&entries=" + strconv.FormatBool(entries)
	if hall != "" {
		path += "&hall=" + hall
	} else {
		path += "&id=" + id
	}
	return p.callPlatform(ctx, http.MethodPost, path, nil, nil)
}

// Status returns the status that the i-th entry instance reports.
func (p *Processes) Status(ctx context.Context, i int) (gateway.Status, error) {
	var s gateway.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.spec.EntrySettings(p.base, i).Caller.String()+"/operator/status", nil)
	if err != nil {
		return s, err
	}
	req.Header.Set("Authorization", "Bearer "+p.spec.OperatorKey())
	resp, err := p.http.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status: %s", resp.Status)
	}
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// usage holds the resource use of a process as reported by the operating system.
type usage struct {
	cpu    time.Duration // CPU time used so far
	memory int64         // resident memory in bytes
}

const clockTick = 10 * time.Millisecond // Linux's USER_HZ

// processUsage reads the usage of the i-th entry instance from /proc. It reports
// false if the instance does not run or the file cannot be read.
func (p *Processes) processUsage(i int) (usage, bool) {
	p.mu.Lock()
	cmd := p.entries[i]
	p.mu.Unlock()
	if cmd == nil {
		return usage{}, false
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return usage{}, false
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const userField, systemField, rssField = 11, 12, 21
	if len(f) <= rssField {
		return usage{}, false
	}
	user, _ := strconv.ParseInt(f[userField], 10, 64)
	system, _ := strconv.ParseInt(f[systemField], 10, 64)
	pages, _ := strconv.ParseInt(f[rssField], 10, 64)
	return usage{time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())}, true
}
