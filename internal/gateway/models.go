package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"waxwingcleat.example/waxwingcleat/internal/resource"
)

const (
	defaultModelsPage = 1000
	maximumModelsPage = 10000
)

// modelList caches the sorted adapter names of one configuration view, because sorting tens of thousands of names for
// each call is slow.
type modelList struct {
	mu    sync.Mutex
	view  *resource.View
	names []string
}

// sorted returns the sorted adapter names of view.
func (l *modelList) sorted(view *resource.View) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == view {
		return l.names
	}
	names := make([]string, 0, len(view.Adapters))
	for name := range view.Adapters {
		names = append(names, name)
	}
	slices.Sort(names)
	l.view, l.names = view, names
	return names
}

type modelPage struct {
	Object  string      `json:"object"`
	Data    []modelItem `json:"data"`
	HasMore bool        `json:"has_more"`
}

type modelItem struct {
	ID             string   `json:"id"`
	Object         string   `json:"object"`
	OwnedBy        string   `json:"owned_by"`
	Parent         string   `json:"parent"`
	Versions       []string `json:"versions"`
	DefaultVersion string   `json:"default_version"`
}

// listModels answers with a page of the declared adapters, sorted by name: at most "limit" adapters after the name
// "after".
func (g *Gateway) listModels(w http.ResponseWriter, r *http.Request) {
	view, p := g.view()
	if p != nil {
		p.write(w, requestID(w))
		return
	}
	limit, p := pageLimit(r.URL.Query().Get("limit"))
	if p != nil {
		p.write(w, requestID(w))
		return
	}
	names := g.models.sorted(view)
	if after := r.URL.Query().Get("after"); after != "" {
		start, found := slices.BinarySearch(names, after)
		if found {
			start++
		}
		names = names[start:]
	}
	page := modelPage{Object: "list", Data: []modelItem{}, HasMore: len(names) > limit}
	for _, name := range names[:min(limit, len(names))] {
		page.Data = append(page.Data, newModelItem(name, view.Adapters[name]))
	}
	body, err := json.Marshal(page)
	if err != nil {
		refusal(http.StatusInternalServerError, codeInternal, "the list could not be built").write(w, requestID(w))
		return
	}
	writeResponse(w, http.StatusOK, contentTypeJSON, body)
}

func pageLimit(text string) (int, *problem) {
	if text == "" {
		return defaultModelsPage, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maximumModelsPage {
		return 0, refusal(http.StatusBadRequest, codeInvalidRequest, "limit must be an integer from 1 to %d", maximumModelsPage)
	}
	return limit, nil
}

func newModelItem(name string, adapter *resource.Adapter) modelItem {
	item := modelItem{
		ID: name, Object: "model", OwnedBy: "waxwingcleat", Parent: adapter.Spec.BaseModel,
		DefaultVersion: adapter.Spec.DefaultVersion, Versions: []string{},
	}
	for _, version := range adapter.Spec.Versions {
		item.Versions = append(item.Versions, version.Name)
	}
	return item
}
