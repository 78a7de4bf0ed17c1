package resource

import (
	"fmt"
	"sort"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// keptChanges bounds the history for watches. It holds a declaration of all 3,000 adapters twice over.
const keptChanges = 8192

// ChangeType says what happened to a resource.
type ChangeType string

// Types of changes.
const (
	Added    ChangeType = "ADDED"
	Modified ChangeType = "MODIFIED"
	Deleted  ChangeType = "DELETED"
)

// Change is one accepted change. Object.ResourceVersion is the offset of its record; a deleted object carries its last spec.
type Change struct {
	Type   ChangeType
	Object Object
}

// TooOldError says that changes after an offset are no longer kept; the watcher must list again.
type TooOldError struct {
	After    platform.Offset
	Earliest platform.Offset
}

// Error implements error.
func (e *TooOldError) Error() string {
	return fmt.Sprintf("changes after %d are no longer kept, the earliest version to watch from is %d; list again", e.After, e.Earliest)
}

// history keeps the last changes. Watchers read it at their own pace, so a slow watcher costs no memory.
type history struct {
	changes []Change
	// floor is the lowest offset after which every change is kept.
	floor platform.Offset
}

func (h *history) add(change Change) {
	h.changes = append(h.changes, change)
	if len(h.changes) < 2*keptChanges {
		return
	}
	h.floor = h.changes[keptChanges-1].Object.ResourceVersion
	h.changes = append([]Change(nil), h.changes[keptChanges:]...)
}

func (h *history) since(kind Kind, after platform.Offset) ([]Change, error) {
	if after < h.floor {
		return nil, &TooOldError{After: after, Earliest: h.floor}
	}
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Object.ResourceVersion > after })
	var found []Change
	for _, change := range h.changes[first:] {
		if change.Object.Kind == kind {
			found = append(found, change)
		}
	}
	return found, nil
}
