package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crowd"
)

const (
	// memoryBytes is the memory of the smallest VMs of all sites, descriptors the number of their sockets.
	memoryBytes = 144 << 20
	descriptors = 3075 - 200
	// bodyBytes is the limit of a body at the gateway, batchBytes that of a batch at the API server. The bodies of the callers take
	// twice the memory of a VM.
	bodyBytes    = 1 << 20
	bodyCallers  = 288
	batchBytes   = 4 << 20
	batchCallers = 72
	connections  = 3200
	// headBytes is the size of a head with many fields, below the limit of net/http, headCallers the number of callers that send one.
	headBytes   = 30 << 10
	headCallers = 1000
	playTime    = 8 * time.Second
	waitTimeout = 20 * time.Second
)

type object = map[string]any

// site is the processes of one VM, and stand-ins for the platform, an engine and a service.
type site struct {
	g         *gomega.WithT
	t         *testing.T
	binaries  string
	directory string
	address   map[string]string
	process   map[string]int
}

// startSite starts all processes of a site, and declares one service.
func startSite(t *testing.T, binaries string) *site {
	s := &site{
		g: gomega.NewWithT(t), t: t, binaries: binaries, directory: t.TempDir(), address: map[string]string{}, process: map[string]int{},
	}
	for _, name := range []string{
		"admin", "platform", "engine", "service", "scheduler", "schedulerAdmin", "apiserver", "apiserverAdmin", "gateway", "gatewayPeer",
		"gatewayAdmin",
	} {
		s.address[name] = s.freeAddress()
	}
	s.start("standin", object{
		"adminListen": s.address["admin"],
		"platform": object{
			"endpoints": []object{{"zone": "a", "address": s.address["platform"]}}, "vmLag": "1s",
			"vms": []object{{"name": "vm-1", "zone": "a", "address": "127.0.0.1", "state": "live"}},
		},
		"engines":  []object{{"name": "engine-1", "zone": "a", "address": s.address["engine"], "slots": 8, "checksFence": true}},
		"services": []object{{"name": "records-1", "zone": "a", "address": s.address["service"], "work": "1ms"}},
	})
	s.start("scheduler", s.common("scheduler", object{}))
	s.start("apiserver", s.common("apiserver", object{"limits": object{"batchBytes": batchBytes}}))
	s.start("gateway", s.common("gateway", object{"peerListen": s.address["gatewayPeer"], "maximumBodiesBytes": 16 << 20}))
	s.g.Eventually(s.declare, waitTimeout).Should(gomega.BeTrue())
	s.g.Eventually(func() int { return s.status("POST", "gateway", "/services/records/x", "body") }, waitTimeout).Should(gomega.Equal(200))
	return s
}

// Ports are below the system's ephemeral range, so that no outgoing connection can occupy one before its process listens.
const (
	firstPort = 10_000
	portCount = 9_000
)

// nextPort is the offset of the next port to assign.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// freeAddress returns a loopback address whose port is free.
func (s *site) freeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			s.g.Expect(listener.Close()).To(gomega.Succeed())
			return address
		}
	}
	s.g.Expect(portCount).To(gomega.BeZero(), "no port is free")
	return ""
}

func (s *site) common(role string, settings object) object {
	settings["node"] = object{"name": "vm-1", "region": "r", "zone": "a"}
	settings["listen"], settings["adminListen"] = s.address[role], s.address[role+"Admin"]
	settings["platform"] = object{"logURL": "http://" + s.address["platform"], "vmListURL": "http://" + s.address["platform"]}
	settings["schedulers"] = []string{s.address["scheduler"]}
	return settings
}

// build builds the binaries of a site and returns their directory.
func build(t *testing.T) (binaries string) {
	binaries = t.TempDir()
	for _, role := range []string{"standin", "scheduler", "apiserver", "gateway"} {
		output, err := exec.Command("go", "build", "-o", binaries, "../../cmd/waxwing-"+role).CombinedOutput()
		if err != nil {
			t.Fatalf("build: %v\n%s", err, output)
		}
	}
	return binaries
}

// start starts a process of a role.
func (s *site) start(role string, settings object) {
	data, err := json.Marshal(settings)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(s.directory, role)
	s.g.Expect(os.WriteFile(file+".json", data, 0o600)).To(gomega.Succeed())
	log, err := os.Create(file + ".log")
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	command := exec.Command(filepath.Join(s.binaries, "waxwing-"+role), "--settings", file+".json")
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	s.g.Expect(command.Start()).To(gomega.Succeed())
	s.process[role] = command.Process.Pid
	s.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = log.Close()
	})
}

// declare declares the service and the engine, and reports whether both are declared.
func (s *site) declare() bool {
	operations, err := json.Marshal(object{"operations": []object{
		{"kind": "backendservers", "name": "engine-1", "resourceVersion": 0, "spec": object{
			"zone": "a", "address": s.address["engine"], "baseModel": "base", "slots": 8, "concurrency": 32, "checksFence": true,
			"drain": false,
		}},
		{"kind": "services", "name": "records", "resourceVersion": 0, "spec": object{
			"endpoints": []object{{"zone": "a", "address": s.address["service"], "drain": false}},
		}},
	}})
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	if s.status("POST", "apiserver", "/apis/v1/batch", string(operations)) != http.StatusOK {
		return false
	}
	return s.status("GET", "apiserver", "/apis/v1/backendservers/engine-1", "") == http.StatusOK &&
		s.status("GET", "apiserver", "/apis/v1/services/records", "") == http.StatusOK
}

// status sends one request over a new connection and returns the status of its answer, 0 for none.
func (s *site) status(method, role, path, body string) int {
	request, err := http.NewRequest(method, "http://"+s.address[role]+path, strings.NewReader(body))
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	transport := &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: waitTimeout}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// endure plays a crowd at an address, whose name begins with the role of its process. It checks that the process stays within its VM and
// answers an ordinary request while the crowd's connections are open.
func (s *site) endure(name string, callers int, script crowd.Script) {
	role := strings.TrimSuffix(strings.TrimSuffix(name, "Peer"), "Admin")
	watch := crowd.Process{PID: s.process[role], Addresses: []string{s.address[name]}}.Watch()
	crowded := crowd.Start(crowd.Options{Address: s.address[name], Callers: callers, Script: script, Reads: true})
	defer crowded.Close()
	ctx, cancel := context.WithTimeout(s.t.Context(), playTime)
	defer cancel()
	crowded.Wait(ctx)
	<-time.After(500 * time.Millisecond)
	status := 0
	switch role {
	case "gateway":
		status = s.status("POST", role, "/services/records/x", strings.Repeat("o", 3000))
	case "scheduler":
		status = s.status("GET", name, "/healthz", "")
		if name == role {
			status = s.status("GET", name+"Admin", "/healthz", "")
		}
	default:
		status = s.status("GET", role, "/apis/v1/services/records", "")
	}
	peak, err := watch.Stop()
	s.t.Logf("peak %v", peak)
	s.g.Expect(err).NotTo(gomega.HaveOccurred(), "the process has ended")
	s.g.Expect(peak.Memory).To(gomega.BeNumerically("<", memoryBytes), "memory: %v", peak)
	s.g.Expect(peak.Descriptors).To(gomega.BeNumerically("<", descriptors), "descriptors: %v", peak)
	s.g.Expect(status).To(gomega.Equal(200), "an ordinary request")
}

// send returns a script that sends the head of a request and what body writes.
func send(path, field string, body func(conn io.Writer) error) crowd.Script {
	return sendAs("application/json", path, field, body)
}

// sendAs is send with the type of the body.
func sendAs(contentType, path, field string, body func(conn io.Writer) error) crowd.Script {
	head := crowd.Head(path, "Host: site.example", "Content-Type: "+contentType, field)
	return func(conn io.Writer, _ int) error {
		if _, err := io.WriteString(conn, head); err != nil {
			return err
		}
		return body(conn)
	}
}

func fill(bytes int) func(io.Writer) error {
	return func(conn io.Writer) error { return crowd.Fill(conn, bytes) }
}

func chunks(bytes, size int) func(io.Writer) error {
	return func(conn io.Writer) error { return crowd.FillChunks(conn, bytes, size) }
}

// bodies are the ways in which callers send bodies to path, whose limit is size.
func bodies(path string, size int) map[string]crowd.Script {
	return map[string]crowd.Script{
		"one byte short":                  send(path, crowd.ContentLength(size), fill(size-1)),
		"chunks of 16 KB that stop":       send(path, crowd.Chunked, chunks(size-16<<10, 16<<10)),
		"chunks of one byte that stop":    send(path, crowd.Chunked, chunks(size-1, 1)),
		"far over the limit, announced":   send(path, crowd.ContentLength(64*size), fill(64*size)),
		"far over the limit, in chunks":   send(path, crowd.Chunked, chunks(64*size, 16<<10)),
		"bodies that stop for a bad path": send("/none", crowd.ContentLength(size), fill(size-1)),
	}
}

// idleConnections are the ways in which callers open connections and send little.
func idleConnections(path string) map[string]crowd.Script {
	return map[string]crowd.Script{
		"nothing sent":   func(io.Writer, int) error { return nil },
		"half of a body": send(path, crowd.ContentLength(128<<10), fill(64<<10)),
		"half of a head": func(conn io.Writer, _ int) error {
			_, err := io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: site.example\r\n")
			return err
		},
	}
}

// Guards against callers whose bodies take the memory of the gateway together, and against connections without bound.
func TestCrowdAtTheGateway(t *testing.T) {
	binaries := build(t)
	members := `{"model":"a","prompt":"x","more":[` + strings.Repeat(`"",`, bodyBytes/3-50) + `""]}`
	for _, path := range []string{"/services/records/x", "/v1/completions"} {
		for name, script := range bodies(path, bodyBytes) {
			t.Run(name+" "+path, func(t *testing.T) { startSite(t, binaries).endure("gateway", bodyCallers, script) })
		}
	}
	for name, script := range map[string]crowd.Script{
		"whole bodies with many members": send("/v1/completions", crowd.ContentLength(len(members)), func(conn io.Writer) error {
			_, err := io.WriteString(conn, members)
			return err
		}),
	} {
		t.Run(name, func(t *testing.T) { startSite(t, binaries).endure("gateway", bodyCallers, script) })
	}
	for name, script := range idleConnections("/services/records/x") {
		t.Run(name, func(t *testing.T) { startSite(t, binaries).endure("gateway", connections, script) })
	}
}

// Guards against callers whose bodies take the memory of the API server together, or whose decoded form does, and against connections
// without bound.
func TestCrowdAtTheAPIServer(t *testing.T) {
	binaries := build(t)
	const path = "/apis/v1/batch"
	for name, script := range bodies(path, batchBytes) {
		t.Run(name, func(t *testing.T) { startSite(t, binaries).endure("apiserver", batchCallers, script) })
	}
	for name, repeated := range map[string]string{"operations": `{},`, "values": `{"spec":[` + strings.Repeat(`{},`, 1000) + `{}]},`} {
		body := `{"operations":[` + strings.Repeat(repeated, (batchBytes-100)/len(repeated)) + `{}]}`
		t.Run("many "+name, func(t *testing.T) {
			startSite(t, binaries).endure("apiserver", batchCallers, send(path, crowd.ContentLength(len(body)), func(conn io.Writer) error {
				_, err := io.WriteString(conn, body)
				return err
			}))
		})
	}
	feed := "/twirp/waxwingcleat.peer.ConfigFeed/Fetch"
	t.Run("configuration feed", func(t *testing.T) {
		script := sendAs("application/protobuf", feed, crowd.ContentLength(batchBytes), fill(batchBytes-1))
		startSite(t, binaries).endure("apiserver", batchCallers, script)
	})
	for name, script := range idleConnections(path) {
		t.Run(name, func(t *testing.T) { startSite(t, binaries).endure("apiserver", connections, script) })
	}
}

// manyFields are the ways in which callers send heads to path whose many fields take far more memory than their bytes.
func manyFields(path string) map[string]crowd.Script {
	fields := crowd.ManyFields(headBytes)
	many := strings.TrimSuffix(fields, "\r\n")
	return map[string]crowd.Script{
		"heads that stop": func(conn io.Writer, _ int) error {
			_, err := io.WriteString(conn, crowd.StoppedHead(path, fields))
			return err
		},
		"heads before a body that doesn't come": send(path, many+"\r\n"+crowd.ContentLength(1000), fill(0)),
		"heads for a bad path":                  send("/none", many+"\r\n"+crowd.ContentLength(1000), fill(0)),
	}
}

// Guards against heads that take the memory of the gateway, the API server or the scheduler, at any of their addresses.
func TestCrowdOfHeadsAtOtherProcesses(t *testing.T) {
	binaries := build(t)
	for role, path := range map[string]string{"gateway": "/services/records/x", "apiserver": "/apis/v1/batch"} {
		for name, script := range manyFields(path) {
			t.Run(role+" "+name, func(t *testing.T) { startSite(t, binaries).endure(role, headCallers, script) })
		}
	}
	for name, path := range internalPaths {
		t.Run(name+" heads that stop", func(t *testing.T) {
			startSite(t, binaries).endure(name, headCallers, manyFields(path)["heads that stop"])
		})
	}
}

// internalPaths are the paths at which other processes of the site call each role, by the name of its address.
var internalPaths = map[string]string{
	"gatewayPeer":    "/twirp/waxwingcleat.peer.Claims/Lookup",
	"scheduler":      "/twirp/waxwingcleat.peer.Permits/Sync",
	"schedulerAdmin": "/metrics",
	"apiserverAdmin": "/metrics",
	"gatewayAdmin":   "/metrics",
}

// Guards against bodies that take the memory of a process at an address for other processes of the site, for operators or monitoring.
func TestCrowdAtInternalAddresses(t *testing.T) {
	binaries := build(t)
	for name, path := range internalPaths {
		for way, script := range map[string]crowd.Script{
			"one byte short":            sendAs("application/protobuf", path, crowd.ContentLength(bodyBytes), fill(bodyBytes-1)),
			"chunks of 16 KB that stop": sendAs("application/protobuf", path, crowd.Chunked, chunks(bodyBytes-16<<10, 16<<10)),
			// Few enough bytes for a machine without a bound.
			"far over any sound message": sendAs("application/protobuf", path, crowd.Chunked, chunks(4*bodyBytes, 16<<10)),
		} {
			t.Run(name+" "+way, func(t *testing.T) { startSite(t, binaries).endure(name, bodyCallers, script) })
		}
	}
}

// Guards against bodies at an internal address that stop and keep their connections for good.
func TestStoppedBodiesAtInternalAddressesAreGivenUp(t *testing.T) {
	s := startSite(t, build(t))
	conns := map[string]net.Conn{}
	for name, path := range internalPaths {
		conn, err := net.Dial("tcp", s.address[name])
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		s.g.Expect(sendAs("application/protobuf", path, crowd.ContentLength(1000), fill(0))(conn, 0)).To(gomega.Succeed())
		s.g.Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(gomega.Succeed())
		conns[name] = conn
	}
	for name, conn := range conns {
		_, err := io.ReadAll(conn)
		s.g.Expect(err).NotTo(gomega.HaveOccurred(), "%s: the connection is kept", name)
	}
}

// Guards against limits that sound callers meet in calm.
func TestSoundCallersAreServedInCalm(t *testing.T) {
	s := startSite(t, build(t))
	s.g.Expect(s.status("POST", "gateway", "/services/records/x", strings.Repeat("x", bodyBytes))).To(gomega.Equal(200))
	operations := make([]string, 0, 5000)
	for n := range cap(operations) {
		operations = append(operations, fmt.Sprintf(`{"kind":"adapters","name":"a%d","resourceVersion":0,`+
			`"spec":{"baseModel":"base","versions":[{"name":"v1","path":"weights/a%d/v1"}],"defaultVersion":"v1"}}`, n, n))
	}
	batch := `{"operations":[` + strings.Join(operations, ",") + `]}`
	s.g.Expect(s.status("POST", "apiserver", "/apis/v1/batch", batch)).To(gomega.Equal(200))
}
