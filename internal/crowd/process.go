package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// samplePeriod is the time between two looks at a process.
const samplePeriod = 25 * time.Millisecond

// Process is a process under test, which listens on the given addresses.
type Process struct {
	PID       int
	Addresses []string
}

// Usage is what a process takes.
type Usage struct {
	// Memory is the resident memory with the bytes that the kernel has received for the process's connections and that the process
	// has not read.
	Memory, Resident, Unread int64
	Descriptors              int
}

// String implements fmt.Stringer.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB (resident %d MB, unread %d MB), %d descriptors", u.Memory>>20, u.Resident>>20, u.Unread>>20, u.Descriptors)
}

// Usage returns what the process takes now. It fails if the process has ended.
func (p Process) Usage() (usage Usage, err error) {
	if usage.Resident, err = p.resident(); err != nil {
		return usage, err
	}
	if usage.Unread, err = p.unread(); err != nil {
		return usage, err
	}
	usage.Memory = usage.Resident + usage.Unread
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	usage.Descriptors = len(entries)
	return usage, err
}

func (p Process) resident() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", p.PID)
}

// Columns of /proc/net/tcp, and the state of a listening socket.
const (
	columnLocal, columnState, columnQueues = 1, 3, 4
	stateListen                            = "0A"
)

// unread returns the bytes in the receive queues of the connections to the process's addresses.
func (p Process) unread() (bytes int64, err error) {
	ports := map[string]bool{}
	for _, address := range p.Addresses {
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return 0, err
		}
		number, err := strconv.Atoi(port)
		if err != nil {
			return 0, err
		}
		ports[fmt.Sprintf("%04X", number)] = true
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		_, port, found := strings.Cut(columns[columnLocal], ":")
		if !found || !ports[port] || columns[columnState] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(columns[columnQueues], ":")
		queued, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		bytes += queued
	}
	return bytes, nil
}

// Watch looks at a process until Stop.
type Watch struct {
	stop chan struct{}
	done sync.WaitGroup
	peak Usage
	err  error
}

// Watch begins to look at the process.
func (p Process) Watch() *Watch {
	w := &Watch{stop: make(chan struct{})}
	w.done.Go(func() {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			usage, err := p.Usage()
			if err != nil {
				w.err = err
				return
			}
			if usage.Memory > w.peak.Memory {
				usage.Descriptors = max(usage.Descriptors, w.peak.Descriptors)
				w.peak = usage
			}
			w.peak.Descriptors = max(usage.Descriptors, w.peak.Descriptors)
			select {
			case <-w.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return w
}

// Stop ends the watch. It returns the most memory and descriptors that the process has taken, and an error if the process has ended.
func (w *Watch) Stop() (peak Usage, err error) {
	close(w.stop)
	w.done.Wait()
	return w.peak, w.err
}
