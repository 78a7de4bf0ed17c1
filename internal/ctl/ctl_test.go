package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"waxwingcleat.example/waxwingcleat/internal/apiserver"
	"waxwingcleat.example/waxwingcleat/internal/ctl"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

func TestCtl(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ctl")
}

// fakeLog is an in-memory log service.
type fakeLog struct {
	mu      sync.Mutex
	records []platform.Record
}

func (l *fakeLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Data: data})
	return offset, nil
}

func (l *fakeLog) Read(ctx context.Context, _ platform.Stream, from platform.Offset, _ time.Duration) (platform.Batch, error) {
	limited, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	<-limited.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := platform.Batch{Earliest: 1, Next: platform.Offset(len(l.records) + 1)}
	batch.Records = append(batch.Records, l.records[from-1:]...)
	return batch, nil
}

// fakeScheduler answers with one node that has applied the same configuration as the API server.
type fakeScheduler struct{ peerpb.Permits }

func (fakeScheduler) Sync(_ context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	node := &peerpb.NodeEntry{Name: "vm-1", State: peerpb.NodeState_ALIVE, AppliedConfig: request.GetAppliedConfig()}
	return &peerpb.SyncResponse{NodeTableVersion: request.GetSequence(), Nodes: []*peerpb.NodeEntry{node}}, nil
}

func startServer(log platform.Log) (string, context.CancelFunc) {
	mux := http.NewServeMux()
	mux.Handle(peerpb.PermitsPathPrefix, peerpb.NewPermitsServer(fakeScheduler{}))
	scheduler := httptest.NewServer(mux)
	ginkgo.DeferCleanup(scheduler.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := apiserver.DefaultSettings()
	s.Listen = listener.Addr().String()
	s.Schedulers = []string{strings.TrimPrefix(scheduler.URL, "http://")}
	s.Config.SyncInterval = settings.Duration(5 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- apiserver.New(s, log, event.Discard()).Run(ctx, listener, admin) }()
	ginkgo.DeferCleanup(func() { cancel(); gomega.Expect(<-done).To(gomega.Succeed()) })
	gomega.Eventually(func() (int, error) {
		response, err := http.Get("http://" + s.Listen + "/apis/v1/adapters")
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}).Should(gomega.Equal(http.StatusOK))
	return s.Listen, cancel
}

// run executes a command line and returns its exit code and output.
func run(input string, args ...string) (int, string) {
	var out bytes.Buffer
	code := ctl.Run(context.Background(), args, ctl.Streams{In: strings.NewReader(input), Out: &out, Err: &out})
	return code, out.String()
}

const server = `{"kind":"backendservers","name":"s1","spec":{"zone":"z","address":"127.0.0.1:1","baseModel":"m","slots":4,"concurrency":8}}`

func adapters(count int) string {
	var documents []string
	for i := range count {
		documents = append(documents, fmt.Sprintf(`{"kind":"adapters","name":"a%d","spec":{"baseModel":"m",`+
			`"versions":[{"name":"v1","path":"p%d"}],"defaultVersion":"v1"}}`, i, i))
	}
	return "[" + strings.Join(documents, ",") + "]"
}

var _ = ginkgo.Describe("waxwingctl", func() {
	var address string
	var log *fakeLog
	ginkgo.BeforeEach(func() {
		log = &fakeLog{}
		address, _ = startServer(log)
	})

	// Guards against exit codes by which scripts can't distinguish a conflict, an invalid command line and a failure.
	ginkgo.It("returns the documented exit codes", func() {
		code, out := run(server, "apply", "-f", "-", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
		code, out = run(strings.Replace(server, `"spec"`, `"resourceVersion":0,"spec"`, 1), "apply", "-f", "-", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitConflict), out)
		gomega.Expect(out).To(gomega.ContainSubstring("current version 1"))
		code, out = run(strings.Replace(server, `"slots":4`, `"slots":0`, 1), "apply", "-f", "-", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed), out)
		gomega.Expect(out).To(gomega.ContainSubstring("spec.slots"))
		for _, args := range [][]string{{"aply"}, {"get"}, {"get", "pods", "--server", address}, {"get", "adapters"},
			{"status", "x"}, {"apply", "--bad"}, {"get", "adapters", "-o", "yaml"}, {"explain", "x"}, {}} {
			code, out = run("", args...)
			gomega.Expect(code).To(gomega.Equal(ctl.ExitUsage), "%v: %s", args, out)
		}
		code, _ = run("", "get", "adapters", "absent", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed))
	})

	// Guards against an apply that fails when the first server can't be reached.
	ginkgo.It("applies a directory through the next reachable server", func() {
		directory := ginkgo.GinkgoT().TempDir()
		gomega.Expect(os.WriteFile(filepath.Join(directory, "a.json"), []byte(adapters(1200)), 0o600)).To(gomega.Succeed())
		gomega.Expect(os.WriteFile(filepath.Join(directory, "b.json"), []byte(server+server), 0o600)).To(gomega.Succeed())
		code, out := run("", "apply", "-f", directory, "--server", "127.0.0.1:1", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed), out)
		gomega.Expect(os.WriteFile(filepath.Join(directory, "b.json"), []byte(server), 0o600)).To(gomega.Succeed())
		code, out = run("", "apply", "-f", directory, "--server", "127.0.0.1:1", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
		_, out = run("", "get", "adapters", "-o", "json", "--server", address)
		var all struct{ Items []any }
		gomega.Expect(json.Unmarshal([]byte(out), &all)).To(gomega.Succeed())
		gomega.Expect(all.Items).To(gomega.HaveLen(1200))
	})

	// Guards against a drain that changes other fields, and a wait that ends before the version is in force.
	ginkgo.It("drains a server, waits, and deletes it", func() {
		run(server, "apply", "-f", "-", "--server", address)
		code, out := run("", "drain", "s1", "--wait", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
		gomega.Expect(out).To(gomega.ContainSubstring("version 2 is in force"))
		_, out = run("", "get", "backendservers", "s1", "--server", address)
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring(`"drain":true`), gomega.ContainSubstring(`"slots":4`)))
		code, _ = run("", "wait", "9", "--timeout", "10ms", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed))
		code, _ = run("", "delete", "backendservers", "s1", "--resource-version", "1", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitConflict))
		code, out = run("", "delete", "backendservers", "s1", "--server", address)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
	})

	// Guards against a watch that ends, or misses or repeats changes, when its API server stops.
	ginkgo.It("resumes a watch at another server", func() {
		second, stop := startServer(log)
		ctx, cancel := context.WithCancel(context.Background())
		out := gbytes.NewBuffer()
		done := make(chan int)
		go func() {
			args := []string{"watch", "backendservers", "--resource-version", "0", "--server", second, "--server", address}
			done <- ctl.Run(ctx, args, ctl.Streams{Out: out, Err: out})
		}()
		run(server, "apply", "-f", "-", "--server", address)
		gomega.Eventually(out).Should(gbytes.Say("ADDED\ts1"))
		stop()
		run("", "drain", "s1", "--server", address)
		gomega.Eventually(out, 10*time.Second).Should(gbytes.Say("MODIFIED\ts1"))
		cancel()
		gomega.Expect(<-done).To(gomega.Equal(ctl.ExitOK))
		gomega.Expect(strings.Count(string(out.Contents()), "ADDED")).To(gomega.Equal(1))
	})

	// Guards against reporting "not written" for a change that an earlier attempt without an answer may have written.
	ginkgo.It("reports unknown when an attempt got no answer and the next server can't write", func() {
		aborting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			panic(http.ErrAbortHandler)
		}))
		ginkgo.DeferCleanup(aborting.Close)
		readOnly := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			fmt.Fprint(w, `{"results":[{"error":{"code":"not_written"}}]}`)
		}))
		ginkgo.DeferCleanup(readOnly.Close)
		document := strings.Replace(server, `"spec"`, `"resourceVersion":0,"spec"`, 1)
		code, out := run(document, "apply", "-f", "-", "--server", aborting.URL, "--server", readOnly.URL)
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed))
		gomega.Expect(out).To(gomega.ContainSubstring("refused: unknown"))
	})

	// Guards against an explanation that doesn't report a process that can't be reached.
	ginkgo.It("explains decisions from every admin endpoint", func() {
		admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			fmt.Fprintf(w, `[{"subject":%q,"choice":"s1"}]`, request.URL.Query().Get("name"))
		}))
		ginkgo.DeferCleanup(admin.Close)
		code, out := run("", "explain", "a@v1#2", "--admin", admin.URL, "--admin", "127.0.0.1:1")
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed))
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring(`"subject":"a@v1#2"`), gomega.ContainSubstring("127.0.0.1:1:")))
	})

	// Guards against a request in the log that isn't explained, and against a cause for a request that isn't in the log.
	ginkgo.It("explains a failed request from a log", func() {
		log := `{"time":"2026-12-03T10:00:01.000Z","event":801,"node":"n1","request":"r1","status":502,"server":"s1","reason":"the server gave no answer"}
{"time":"2026-12-03T10:00:01.200Z","event":823,"node":"n2","server":"s1","error":"connection refused"}
`
		code, out := run(log, "explain", "r1", "--log", "-")
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK))
		gomega.Expect(out).To(gomega.And(gomega.ContainSubstring("cause: server s1 was out of reach"), gomega.ContainSubstring("evidence")))
		code, out = run(log, "explain", "--log", "-")
		gomega.Expect(code).To(gomega.Equal(ctl.ExitOK))
		gomega.Expect(out).To(gomega.ContainSubstring("1 failed requests, cause known of 1"))
		code, _ = run(log, "explain", "r2", "--log", "-")
		gomega.Expect(code).To(gomega.Equal(ctl.ExitFailed))
		code, _ = run(log, "explain", "r1", "--log", "-", "--admin", "127.0.0.1:1")
		gomega.Expect(code).To(gomega.Equal(ctl.ExitUsage))
	})
})
