package fault

import (
	"encoding/json"
	"net/http"
)

// maximumOrderBytes bounds the size of an order's body.
const maximumOrderBytes = 1 << 16

// ServeHTTP switches a fault on (POST with an Order), lists the active faults (GET), and clears faults (DELETE with the
// optional query parameters target and kind). It answers each with the list of active faults.
func (reg *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		reg.post(w, r)
	case http.MethodDelete:
		reg.Clear(r.URL.Query().Get("target"), Kind(r.URL.Query().Get("kind")))
		reg.writeList(w)
	case http.MethodGet:
		reg.writeList(w)
	default:
		http.Error(w, "allowed: GET, POST, DELETE", http.StatusMethodNotAllowed)
	}
}

func (reg *Registry) post(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maximumOrderBytes))
	decoder.DisallowUnknownFields()
	var order Order
	if err := decoder.Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := reg.Activate(order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reg.writeList(w)
}

func (reg *Registry) writeList(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reg.List())
}
