package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["names"] = playNames }

const (
	memoryLimit = 284 << 20
	// nameBytes is the length of the names of adapters that a client sends; the whole head stays below the limit of 16,384 bytes.
	nameBytes = 15 << 10
	// nameCallers is the number of connections of the client, nameRate the number of its requests a second over all of them.
	nameCallers = 64
	nameRate    = 1500
	nameTime    = 60 * time.Second
)

// resident returns the resident memory of a process, and the processor time that it has used.
func resident(pid int) (bytes int64, used time.Duration) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			bytes = kilobytes << 10
		}
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return bytes, 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return bytes, time.Duration(user+system) * 10 * time.Millisecond
}

// sendNames sends requests that each name an adapter of their own, on one connection, at a rate.
func sendNames(ctx context.Context, address string, period time.Duration, sent *atomic.Int64) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(period)
			continue
		}
		answers := bufio.NewReader(conn)
		for ctx.Err() == nil {
			<-ticker.C
			id := newID()
			name := id + strings.Repeat("x", nameBytes-len(id))
			_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s/%s\r\n%s: 10,10\r\n%s: 60\r\nContent-Length: 0\r\n\r\n",
				streamPath, host, names["requestID"], id, names["model"], baseModel, name, names["tokens"], names["deadline"])
			if err != nil {
				break
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			result, err := http.ReadResponse(answers, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, result.Body)
			_ = result.Body.Close()
			sent.Add(1)
			if err != nil || result.Close {
				break
			}
		}
		_ = conn.Close()
	}
}

// playNames has a client name another adapter in each request. The platform kills a process that exceeds its memory.
func playNames(s *site, trouble bool) (isBroken bool, err error) {
	const adapters = 8
	s.quota = true
	s.declare()
	if _, err := s.addEngine("v1", 20*time.Millisecond, 20); err != nil {
		return false, err
	}
	if err := s.startNodes(2); err != nil {
		return false, err
	}
	if err := s.warmUp(adapters); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), nameTime)
	defer cancel()
	var group sync.WaitGroup
	var kills, ordinary, served atomic.Int64
	failures := make(chan error, len(s.nodes))
	for _, n := range s.nodes {
		var sent atomic.Int64
		if trouble {
			for range nameCallers {
				group.Go(func() { sendNames(ctx, n.front, nameCallers*time.Second/nameRate, &sent) })
			}
		}
		group.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				time.Sleep(100 * time.Millisecond)
				killed, err := s.watchMemory(n, round%10 == 0, sent.Load())
				if err != nil {
					failures <- err
					return
				}
				if killed {
					kills.Add(1)
				}
			}
		})
		group.Go(func() {
			for round := 0; ctx.Err() == nil; round++ {
				time.Sleep(time.Second)
				c := &streamCall{rec: s.rec, adapter: adapterName(round, adapters), deadline: time.Now().Add(5 * time.Second)}
				c.attempt(ctx, n, streamPath)
				ordinary.Add(1)
				if c.complete {
					served.Add(1)
				}
			}
		})
	}
	group.Wait()
	s.rec.add("nodes were killed %d times; %d of %d ordinary requests were served", kills.Load(), served.Load(), ordinary.Load())
	select {
	case err := <-failures:
		return false, err
	default:
		return kills.Load() > 0, nil
	}
}

// watchMemory looks at the memory of a node, and kills it and starts it again if that is over the limit, as the platform does.
func (s *site) watchMemory(n *node, show bool, sent int64) (killed bool, err error) {
	bytes, used := resident(n.command.Process.Pid)
	if show {
		s.rec.add("node %s: resident %d MB, %v of processor time; %d requests with other adapters were answered", n.name, bytes>>20, used, sent)
	}
	if bytes <= memoryLimit && !n.hasEnded() {
		return false, nil
	}
	s.rec.add("node %s has %d MB, the limit is %d MB: the platform kills it", n.name, bytes>>20, memoryLimit>>20)
	n.kill()
	return true, n.start()
}
