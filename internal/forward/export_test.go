package forward

import (
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// ServeAs serves a request of a customer.
func (f *Forwarder) ServeAs(w http.ResponseWriter, r *http.Request, customer *serving.Customer) {
	j := f.newJob(w, r)
	j.customer = customer
	j.handle()
}
