package node

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// whereConfig has a plain service, and a customer with a quota.
func whereConfig() *serving.Configuration {
	return &serving.Configuration{
		Version: 3, Services: map[string]serving.Service{"files": {Name: "files"}},
		Routes: []serving.Route{{
			Name: "r", Host: "example.com", PathPrefix: "/", Timeout: time.Second, MaxAttempts: 1,
			Services: []serving.WeightedService{{Service: "files", Weight: 1}},
		}},
		Customers: []serving.Customer{{Name: "acme", Quota: serving.Quota{PerSecond: 100, Burst: 100}}},
	}
}

// Guards against an admin address that doesn't serve explanations, or serves errors as explanations.
func TestAdminAddressExplainsWhereARequestGoes(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.forwarder.SetConfig(whereConfig())
	n.view.PutEntry(time.Now(), serving.Server{ID: "s1", Service: "files", Address: "10.0.0.1:80", Zone: "a", Slots: 6})
	call := func(query string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		n.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/where?"+query, http.NoBody))
		return recorder
	}
	answer := call("route=r&customer=acme")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusOK))
	var where forward.Where
	g.Expect(json.Unmarshal(answer.Body.Bytes(), &where)).To(gomega.Succeed())
	g.Expect(where.ConfigurationVersion).To(gomega.Equal(int64(3)))
	g.Expect(where.Destinations).To(gomega.HaveLen(1))
	g.Expect(where.Destinations[0].Server).To(gomega.Equal("s1"))
	g.Expect(where.Destinations[0].Slots).NotTo(gomega.BeNil())
	// The node has no proof that its configuration is recent, and no coordinator.
	g.Expect(where.Keys.Accepted).To(gomega.BeFalse())
	g.Expect(where.Refusal.Status).To(gomega.Equal(http.StatusServiceUnavailable))

	answer = call("host=example.com&path=/&customer=acmee")
	g.Expect(answer.Code).To(gomega.Equal(http.StatusNotFound))
	g.Expect(answer.Body.String()).To(gomega.ContainSubstring(`"similar":["acme"]`))
	for _, query := range []string{"", "route=r&host=example.com", "route=r&deadline=soon", "route=r&token=x", "route=r&route=r"} {
		g.Expect(call(query).Code).To(gomega.Equal(http.StatusBadRequest), query)
	}
}

// Guards against a shown state of a quota that differs from what a request meets, and against one that costs something.
func TestShownQuotaIsThatOfARequest(t *testing.T) {
	g := gomega.NewWithT(t)
	config := whereConfig()
	n := startQuotaNode(t, config)
	customer := &config.Customers[0]
	for range 100 {
		state := n.quotas.View(customer, 1, 0)
		g.Expect(state.Coordinator).To(gomega.BeEmpty())
		g.Expect(state.AnsweredMsAgo).To(gomega.Equal(int64(-1)))
	}
	n.quotas.mu.Lock()
	g.Expect(n.quotas.client.Customers()).To(gomega.BeZero())
	n.quotas.mu.Unlock()
	n.own(bootTime())
	g.Expect(n.quotas.View(customer, 1, 0).Decision).To(gomega.Equal(forward.QuotaAsks))
	g.Expect(n.quotas.View(customer, 1, 0).Coordinator).To(gomega.Equal(n.link.Address()))
}
