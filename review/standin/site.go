package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	siteHost = "site.example"
	// nodeProgram is the program of the deploy file, relative to the root of the repository.
	nodeProgram = "target/waxwing-node"
	// stableWindow, drainTime and the like are bounds of the small sites.
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	leaseTime    = 3 * time.Second
	readyTimeout = 20 * time.Second
)

// site is a deployment on loopback addresses.
type site struct {
	ctx     context.Context
	record  *recorder
	store   *store
	servers []*server
	nodes   []*node
	// trouble is false for the run without the disruption.
	trouble bool
	folder  string
	// fenced is whether servers check fencing tokens.
	fenced bool
	// port is the offset of the latest port that was chosen.
	port int
	ids  atomic.Int64
}

// node is a process of the system.
type node struct {
	name, front, ready string
	settings           string
	process            *exec.Cmd
	done               chan struct{}
	startedAt          time.Time
}

// errUnfit means that the case couldn't run.
var errUnfit = errors.New("the case couldn't run")

func newSite(ctx context.Context, record *recorder, folder string, trouble bool) (*site, error) {
	s := &site{ctx: ctx, record: record, trouble: trouble, folder: folder, fenced: true, port: rand.IntN(portCount)}
	var err error
	s.store, err = startStore(record)
	return s, err
}

// configure writes a configuration as the operator does, and returns when the store acknowledged it.
func (s *site) configure(config object) (acknowledgedAt time.Time) {
	for !s.store.put(wire.Topics.Operator, "config", config) {
		time.Sleep(20 * time.Millisecond)
	}
	s.record.line("operator: configuration %v acknowledged, end of the operator's log %d", config["version"], s.store.end(wire.Topics.Operator))
	return time.Now()
}

// addServers starts servers and their heartbeats.
func (s *site) addServers(servers ...*server) error {
	for _, added := range servers {
		added.store, added.record, added.fenced = s.store, s.record, s.fenced
		if err := added.start(); err != nil {
			return fmt.Errorf("%w: %w", errUnfit, err)
		}
		go added.beatUntil(s.ctx)
		s.servers = append(s.servers, added)
	}
	return nil
}

// firstPort and portCount bound the ports of nodes, which are below the range of outgoing connections.
const (
	firstPort = 20_000
	portCount = 10_000
)

// freeAddress returns a loopback address with a port that is free for TCP and UDP, another one with each call.
func (s *site) freeAddress() string {
	for {
		s.port++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+s.port%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address
	}
}

// addNodes starts so many nodes and waits until all are ready and members of the group.
func (s *site) addNodes(count int) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("n%d", i+1), front: s.freeAddress(), ready: s.freeAddress()}
		settings := with(wire.Settings, object{
			"node": object{"name": n.name, "region": "r", "zone": "a"}, "listen": n.front, "readyListen": n.ready,
			"peerListen": s.freeAddress(), "adminListen": s.freeAddress(),
			"store": object{"address": s.store.address, "partitions": partitions}, "ordersFenced": s.fenced,
		})
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		n.settings = filepath.Join(s.folder, n.name+".json")
		if err := os.WriteFile(n.settings, data, 0o600); err != nil {
			return fmt.Errorf("%w: %w", errUnfit, err)
		}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return s.awaitReady(func() bool { return s.store.members() == count })
}

// startNode starts the process of a node with the command of the deploy file.
func (s *site) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnfit, err)
	}
	defer log.Close()
	n.process = exec.Command(nodeProgram, "--settings", n.settings)
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errUnfit, err)
	}
	n.startedAt = time.Now()
	s.record.line("%s: started", n.name)
	done, process := make(chan struct{}), n.process
	n.done = done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// kill kills the process of a node and waits for its end.
func (s *site) kill(n *node) {
	_ = n.process.Process.Signal(syscall.SIGKILL)
	<-n.done
	s.record.line("%s: killed", n.name)
}

// stop ends all processes.
func (s *site) stop() {
	for _, n := range s.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Signal(syscall.SIGKILL)
			<-n.done
		}
	}
}

// awaitReady waits until all nodes are ready and a condition holds.
func (s *site) awaitReady(holds func() bool) error {
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if answer, err := http.Get("http://" + n.ready + "/ready"); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.nodes) && holds() {
			s.record.line("all %d nodes are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("%w: the nodes aren't ready", errUnfit)
}

// answer is what a client got.
type answer struct {
	id, body string
	status   int
	sentAt   time.Time
	whole    bool
	// kept is true when the channel had carried a request before.
	kept bool
}

// call sends a request to a node on a channel of its own and reads the answer.
func (s *site) call(n *node, method, path, body string, deadline time.Duration, header map[string]string) answer {
	channel := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer channel.CloseIdleConnections()
	return s.callOver(channel, n, method, path, body, deadline, header)
}

// callOver is call with the channel.
func (s *site) callOver(
	channel *http.Transport, n *node, method, path, body string, deadline time.Duration, header map[string]string,
) answer {
	h := wire.Headers
	a := answer{id: fmt.Sprintf("r%06d", s.ids.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(s.ctx, deadline+time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = siteHost
	request.Header.Set(h.Request, a.id)
	request.Header.Set(h.Deadline, fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused },
	})
	result, err := channel.RoundTrip(request.WithContext(traced))
	if err != nil {
		s.record.line("client: %s %s %s at %s, no answer", a.id, method, path, n.name)
		return a
	}
	defer result.Body.Close()
	data, err := readPatiently(result.Body, cancel)
	a.status, a.body, a.whole = result.StatusCode, string(data), err == nil
	s.record.line("client: %s %s %s at %s -> %d, %d bytes, whole %v", a.id, method, path, n.name, a.status, len(data), a.whole)
	return a
}

// patience is the gap after which a client abandons a stream: four times the objective of the routes, which is longer than two
// seconds and than eight times their longest pause.
const patience = 4 * time.Second

// readPatiently reads an answer to its end. It calls abandon after a gap of patience.
func readPatiently(body io.Reader, abandon func()) (data []byte, err error) {
	gap := time.AfterFunc(patience, abandon)
	defer gap.Stop()
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		data = append(data, buffer[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
		gap.Reset(patience)
	}
}

// stream sends a request for a stream of a model or one of its adapters.
func (s *site) stream(n *node, path, model, parts string, deadline time.Duration) answer {
	h := wire.Headers
	// No two prompts are alike.
	return s.call(n, http.MethodPost, path, fmt.Sprintf("prompt %d", rand.Uint64()), deadline, map[string]string{
		h.Model: model, h.Tokens: "120,40", h.Prompt: parts,
	})
}

// sleep waits, or returns false if the time of the case is over.
func (s *site) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
