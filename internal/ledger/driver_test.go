package ledger_test

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// memoryLog is an in-memory log service whose appends can be made to fail.
type memoryLog struct {
	mutex   sync.Mutex
	records []platform.Record
	changed chan struct{}
	down    bool
}

func (l *memoryLog) Append(_ context.Context, _ platform.Stream, data []byte) (platform.Offset, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, errors.New("the log is down")
	}
	offset := platform.Offset(len(l.records) + 1)
	l.records = append(l.records, platform.Record{Offset: offset, Time: time.Now(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	return offset, nil
}

func (l *memoryLog) Read(
	ctx context.Context, _ platform.Stream, from platform.Offset, wait time.Duration,
) (platform.Batch, error) {
	for {
		l.mutex.Lock()
		next, changed := platform.Offset(len(l.records)+1), l.changed
		records := l.records[min(from, next)-1:]
		l.mutex.Unlock()
		if len(records) > 0 || wait == 0 {
			return platform.Batch{Earliest: 1, Next: next, Records: records}, nil
		}
		select {
		case <-changed:
		case <-time.After(wait):
			wait = 0
		case <-ctx.Done():
			return platform.Batch{}, ctx.Err()
		}
	}
}

func (l *memoryLog) setDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// startLedger runs a Driver and its Claims service until the test ends.
func startLedger(log platform.Log, incarnation string) *ledger.Driver {
	server := httptest.NewUnstartedServer(nil)
	driver := ledger.NewDriver(ledger.Options{
		Log: log, Incarnation: incarnation, Address: server.Listener.Addr().String(), Events: event.Discard(),
		BeginTimeout: 300 * time.Millisecond,
	})
	server.Config.Handler = driver.Handler()
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- driver.Run(ctx) }()
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
		server.Close()
	})
	gomega.Eventually(driver.Ready).Should(gomega.Succeed())
	return driver
}

var _ = ginkgo.Describe("Driver", func() {
	key := ledger.Key{Hash: ledger.HashKey("k", "POST /v1/completions")}
	ctx := context.Background()
	var log *memoryLog
	var first, second *ledger.Driver
	begin := func(d *ledger.Driver, attempt string) func() ledger.State {
		return func() ledger.State { return d.Begin(ctx, key, attempt).State }
	}

	ginkgo.BeforeEach(func() {
		log = &memoryLog{changed: make(chan struct{})}
		first, second = startLedger(log, "a"), startLedger(log, "b")
		gomega.Expect(begin(first, "1")()).To(gomega.Equal(ledger.Claimed))
	})

	// Guards against a second gateway that dispatches a key held by the first one.
	ginkgo.It("grants a held key to no other attempt", func() {
		gomega.Expect(begin(first, "2")()).To(gomega.Equal(ledger.InProgress))
		gomega.Eventually(begin(second, "3")).Should(gomega.Equal(ledger.InProgress))
	})

	// Guards against an outcome that is available only at its own gateway, for bodies below and above the size that is
	// written to the log.
	ginkgo.DescribeTable("returns the outcome to a retry at another gateway", func(size int) {
		body := bytes.Repeat([]byte("x"), size)
		first.Complete(key, "1", ledger.Outcome{Status: 200, ContentType: "text/plain", Body: body})
		var verdict ledger.Verdict
		gomega.Eventually(func() ledger.State {
			verdict = second.Begin(ctx, key, "2")
			return verdict.State
		}).Should(gomega.Equal(ledger.Completed))
		gomega.Expect(verdict.Outcome.Body).To(gomega.Equal(body))
		gomega.Expect(verdict.Outcome.ContentType).To(gomega.Equal("text/plain"))
	}, ginkgo.Entry("small", 100), ginkgo.Entry("large", 100_000))

	// Guards against a key that stays blocked after its attempt was not run.
	ginkgo.It("frees a released key", func() {
		first.Release(key, "1")
		gomega.Eventually(begin(second, "2")).Should(gomega.Equal(ledger.Claimed))
	})

	// Guards against a second run of a request that may have run already.
	ginkgo.It("reports an abandoned key as unknown", func() {
		first.Abandon(key, "1")
		gomega.Eventually(begin(second, "2")).Should(gomega.Equal(ledger.Unknown))
		gomega.Expect(first.Drain(ctx)).To(gomega.Succeed())
		gomega.Expect(begin(first, "3")()).To(gomega.Equal(ledger.Unknown))
	})

	// Guards against a Begin that hangs while the log is down, and against a recorded outcome that is not returned then.
	ginkgo.It("refuses fresh keys and answers known ones while the log is down", func() {
		first.Complete(key, "1", ledger.Outcome{Status: 201})
		gomega.Expect(first.Drain(ctx)).To(gomega.Succeed())
		gomega.Eventually(begin(second, "2")).Should(gomega.Equal(ledger.Completed))
		log.setDown(true)
		fresh := ledger.Key{Hash: ledger.HashKey("fresh", "")}
		gomega.Expect(second.Begin(ctx, fresh, "2").State).To(gomega.Equal(ledger.Unavailable))
		gomega.Expect(begin(second, "3")()).To(gomega.Equal(ledger.Completed))
		log.setDown(false)
		beginFresh := func() ledger.State { return second.Begin(ctx, fresh, "4").State }
		gomega.Eventually(beginFresh, "5s").Should(gomega.Equal(ledger.Claimed))
	})

	// Guards against a Begin that blocks after its context has ended, and against a Drain that succeeds before every
	// record has been read back.
	ginkgo.It("ends calls when their context ends", func() {
		log.setDown(true)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		other := ledger.Key{Hash: ledger.HashKey("x", "")}
		gomega.Expect(second.Begin(cancelled, other, "1").State).To(gomega.Equal(ledger.Unavailable))
		first.Complete(key, "1", ledger.Outcome{Status: 200})
		gomega.Expect(first.Drain(cancelled)).NotTo(gomega.Succeed())
	})
})

var _ = ginkgo.Describe("ParseKeyTime", func() {
	// Guards against a changed header that extends the lifetime of a key.
	ginkgo.It("prefers the time in a UUIDv7 key over the header", func() {
		made, err := ledger.ParseKeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F", "2026-01-01T00:00:00Z")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(made).To(gomega.BeTemporally("==", time.Date(2022, 2, 22, 19, 22, 22, 0, time.UTC)))
	})
	// Guards against a malformed header that is treated as a missing one.
	ginkgo.It("reads the time of other keys from the header", func() {
		made, err := ledger.ParseKeyTime("order-7", "2026-01-01T00:00:00Z")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(made.Year()).To(gomega.Equal(2026))
		_, err = ledger.ParseKeyTime("order-7", strings.Repeat("x", 3))
		gomega.Expect(err).To(gomega.HaveOccurred())
		none, err := ledger.ParseKeyTime("order-7", "")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(none.IsZero()).To(gomega.BeTrue())
	})
})
