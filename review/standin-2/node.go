package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// node is a process of the system, started with the command of the deploy file.
type node struct {
	name, ip, front, ready string
	settings               string
	log                    *os.File
	rec                    *record
	command                *exec.Cmd
	ended                  chan struct{}
	// quota makes the process run on one core, for quotaRun of each quotaPeriod only.
	quota bool
}

// The share of a core that a machine has, as a quota.
const (
	quotaPeriod = 100 * time.Millisecond
	quotaRun    = 40 * time.Millisecond
)

// newNode writes the settings of a node as the platform does. directory is a temporary one.
func newNode(rec *record, directory, name, ip, zone, store string) (*node, error) {
	template, err := os.ReadFile("deploy/settings.json.template")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, ip: ip, front: freeAddress(ip), ready: freeAddress(ip), rec: rec}
	fields := decodeObject(settingsFile)
	fields["nodeName"], fields["ip"], fields["zone"] = name, ip, zone
	fields["listen"] = object{"front": n.front, "ready": n.ready}
	fields[names["portsField"]] = []any{portOf(freeAddress(ip)), portOf(freeAddress(ip))}
	fields["platform"].(object)["address"] = store
	n.settings = filepath.Join(directory, name+".json")
	if err := os.WriteFile(n.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(directory, name+".log")); err != nil {
		return nil, err
	}
	return n, nil
}

func portOf(address string) int {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	return number
}

// start starts the process.
func (n *node) start() error {
	n.command = exec.Command("target/waxwing-node", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	// The process ends with this one, also if that is killed.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if n.quota {
		n.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	if err := n.command.Start(); err != nil {
		return err
	}
	if n.quota {
		go keepQuota(n.command.Process)
	}
	n.rec.add("node %s starts", n.name)
	command, ended := n.command, make(chan struct{})
	n.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// keepQuota stops and continues a process until it ends.
func keepQuota(process *os.Process) {
	for process.Signal(syscall.SIGSTOP) == nil {
		time.Sleep(quotaPeriod - quotaRun)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(quotaRun)
	}
}

// kill ends the process with SIGKILL.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.ended
	n.rec.add("node %s was killed", n.name)
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// awaitReady waits until the node is ready.
func (n *node) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			n.rec.add("node %s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.name, timeout)
}
