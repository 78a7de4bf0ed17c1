package apiserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/apiserver"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// fakeLog is an in-memory log service. While blocked is not nil, appends wait until it is closed.
type fakeLog struct {
	mu      sync.Mutex
	changed chan struct{}
	records []platform.Record
	blocked chan struct{}
	waiting int
}

func newFakeLog() *fakeLog { return &fakeLog{changed: make(chan struct{})} }

func (l *fakeLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if blocked := l.blocked; blocked != nil {
		l.waiting++
		l.mu.Unlock()
		<-blocked
		l.mu.Lock()
	}
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Unix(int64(offset), 0), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

func (l *fakeLog) Read(
	ctx context.Context, _ platform.Stream, from platform.Offset, _ time.Duration,
) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	for {
		l.mu.Lock()
		batch := platform.Batch{Earliest: 1, Next: platform.Offset(len(l.records) + 1)}
		changed := l.changed
		if from < batch.Next {
			batch.Records = append(batch.Records, l.records[from-1:]...)
		}
		l.mu.Unlock()
		if len(batch.Records) > 0 {
			return batch, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return batch, nil
		}
	}
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// fakeScheduler answers syncs with a table of the syncing node, a suspected node that has applied other, and a dead
// node.
type fakeScheduler struct {
	peerpb.Permits
	mu    sync.Mutex
	other uint64
	last  *peerpb.SyncRequest
}

func (f *fakeScheduler) Sync(_ context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = request
	nodes := []*peerpb.NodeEntry{
		{Name: request.GetNode(), State: peerpb.NodeState_ALIVE, AppliedConfig: request.GetAppliedConfig()},
		{Name: "vm-2", State: peerpb.NodeState_SUSPECT, AppliedConfig: f.other},
		{Name: "vm-3", State: peerpb.NodeState_DEAD},
	}
	return &peerpb.SyncResponse{SchedulerIncarnation: "i", NodeTableVersion: request.GetSequence(), Nodes: nodes}, nil
}

func (f *fakeScheduler) lastSync() *peerpb.SyncRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *fakeScheduler) setOther(applied uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.other = applied
}

// running is an API server under test.
type running struct {
	url       string
	log       *fakeLog
	scheduler *fakeScheduler
	stop      context.CancelFunc
	done      chan error
}

func start(change func(*apiserver.Settings)) *running {
	r := &running{log: newFakeLog(), scheduler: &fakeScheduler{}, done: make(chan error, 1)}
	mux := http.NewServeMux()
	mux.Handle(peerpb.PermitsPathPrefix, peerpb.NewPermitsServer(r.scheduler))
	scheduler := httptest.NewServer(mux)
	ginkgo.DeferCleanup(scheduler.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s := apiserver.DefaultSettings()
	s.Node.Name = "vm-1"
	s.Listen = listener.Addr().String()
	s.Schedulers = []string{strings.TrimPrefix(scheduler.URL, "http://")}
	s.Config.SyncInterval = settings.Duration(5 * time.Millisecond)
	s.Config.WriteTimeout = settings.Duration(time.Minute)
	change(&s)
	ctx, cancel := context.WithCancel(context.Background())
	r.url, r.stop = "http://"+s.Listen, cancel
	go func() {
		r.done <- apiserver.New(s, r.log, event.Discard()).Run(ctx, listener, admin)
		close(r.done)
	}()
	ginkgo.DeferCleanup(func() { cancel(); <-r.done })
	status := func() int { return r.call("GET", "/apis/v1/adapters", "").status }
	gomega.Eventually(status).Should(gomega.Equal(http.StatusOK))
	return r
}

// reply is a response with its decoded JSON body.
type reply struct {
	status int
	body   map[string]any
}

// field returns a value by its path, such as "error.code".
func (r reply) field(path string) any {
	var value any = r.body
	for part := range strings.SplitSeq(path, ".") {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[part]
	}
	return value
}

func (r *running) call(method, path, body string) reply {
	request, err := http.NewRequest(method, r.url+path, bytes.NewBufferString(body))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	answer := reply{status: response.StatusCode}
	gomega.Expect(json.Unmarshal(data, &answer.body)).To(gomega.Succeed(), string(data))
	return answer
}

func classBody(version, rank int) string {
	return fmt.Sprintf(`{"resourceVersion":%d,"spec":{"rank":%d,"queueLimit":5,"maximumWaitMs":100}}`, version, rank)
}
