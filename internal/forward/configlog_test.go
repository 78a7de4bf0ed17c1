package forward_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a log that can't tell a right 404 from one of an outdated configuration.
func TestRefusalNamesTheConfigurationInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	f := newFixture(serving.Idempotent)
	options := f.options()
	options.Events = event.NewLog(&log, logrus.DebugLevel, nil)
	options.ConfigAge = func(time.Time) time.Duration { return 1234 * time.Millisecond }
	f.forwarder = forward.New(options)
	f.forwarder.SetConfig(&serving.Configuration{Version: 17})
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusNotFound))
	g.Expect(log.String()).To(gomega.ContainSubstring(`"config":17,"configAgeMs":1234`))
}
