// Package process runs the program as it is shipped, in a process of its own, and reads what
// the process takes of the machine. Only tests import it.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/monsoonfold/monsoonfold/internal/fleet/unit"
)

// runawayMemory is the memory at which a process whose memory grows without a bound is killed,
// before it takes that of the machine.
const runawayMemory unit.Bytes = 1 << 30

// Intervals at which the memory and the open descriptors of a process are read.
const (
	memoryInterval      = 10 * time.Millisecond
	descriptorsInterval = 20 * time.Millisecond
)

// Build builds the program in a directory of the module. A test binary is no measure of its
// memory, as the race detector takes a multiple.
func Build(t *testing.T, directory string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "monsoonfold")
	if text, err := exec.Command("go", "build", "-o", path, directory).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	return path
}

// Process is a running process.
type Process struct {
	t       *testing.T
	process *os.Process
	ended   chan struct{}
	logged  atomic.Int64 // bytes written to stderr
	output  tail         // of stdout
}

// Write passes on what the process writes to stderr.
func (p *Process) Write(text []byte) (int, error) {
	p.logged.Add(int64(len(text)))
	return os.Stderr.Write(text)
}

// Logged returns the number of bytes that the process has written to stderr.
func (p *Process) Logged() unit.Bytes { return unit.Bytes(p.logged.Load()) }

// Start runs a program with a limit of open descriptors until the test ends. A test that
// fails shows the last lines that the program has written to stdout.
func Start(t *testing.T, descriptors int, program string, args ...string) *Process {
	t.Helper()
	command := exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, descriptors), program}, args...)...)
	p := &Process{t: t, ended: make(chan struct{})}
	command.Stdout, command.Stderr = &p.output, p
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p.process = command.Process
	go func() {
		defer close(p.ended)
		_ = command.Wait() // that the process has ended is what a test looks at
	}()
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("end of the output of process %d:\n%s", p.process.Pid, &p.output)
		}
	})
	go p.killRunaway()
	return p
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	_ = p.process.Kill() // fails only if it has ended
	<-p.ended
}

// killRunaway kills the process if its memory reaches runawayMemory.
func (p *Process) killRunaway() {
	for !p.HasEnded() {
		if resident, err := p.readMemory("VmRSS:"); err == nil && resident >= runawayMemory {
			p.Kill()
			return
		}
		time.Sleep(memoryInterval)
	}
}

// HasEnded reports whether the process has ended.
func (p *Process) HasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// PeakMemory returns the largest resident memory that the process has had.
func (p *Process) PeakMemory() unit.Bytes {
	p.t.Helper()
	peak, err := p.readMemory("VmHWM:")
	if err != nil {
		p.t.Fatal(err)
	}
	return peak
}

// readMemory returns a field of the status of the process.
func (p *Process) readMemory(field string) (unit.Bytes, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	if err != nil {
		return 0, errors.Errorf("read status: %w", err)
	}
	_, rest, _ := strings.Cut(string(text), field)
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, errors.Errorf("%s of %q: %w", field, text, err)
	}
	return unit.Bytes(kilobytes) << 10, nil
}

// OpenDescriptors returns the largest number of open descriptors that is seen in a period.
func (p *Process) OpenDescriptors(period time.Duration) (most int) {
	p.t.Helper()
	for deadline := time.Now().Add(period); ; time.Sleep(descriptorsInterval) {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.Pid))
		if err != nil {
			p.t.Fatal(err)
		}
		most = max(most, len(entries))
		if time.Now().After(deadline) {
			return most
		}
	}
}

// ReadPeriod is the time in which an entry reads what clients have sent.
const ReadPeriod = 3 * time.Second

// Bounds are what a process may take at most.
type Bounds struct {
	Memory      unit.Bytes
	Descriptors int
}

// CheckBounds checks that the process lives, and that it has taken no more than its bounds
// while clients misbehaved. The request is an ordinary one, which has to be answered.
func (p *Process) CheckBounds(b Bounds, request func()) {
	p.t.Helper()
	if p.HasEnded() {
		p.t.Fatal("the process has ended")
	}
	descriptors := p.OpenDescriptors(ReadPeriod)
	p.t.Logf("with the clients: %d KB, %d descriptors", p.PeakMemory()>>10, descriptors)
	if descriptors > b.Descriptors {
		p.t.Errorf("%d descriptors, want at most %d", descriptors, b.Descriptors)
	}
	request()
	if p.HasEnded() {
		p.t.Fatal("the process has ended")
	}
	if peak := p.PeakMemory(); peak > b.Memory {
		p.t.Errorf("peak of memory %d KB, want at most %d", peak>>10, b.Memory>>10)
	}
}
