package resource

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// rememberedOperations bounds the operation IDs that are recognised when repeated. It covers ten days of the
	// design's 1,500 changes a day. An older repeat is refused by its expected version, so it never takes effect twice.
	rememberedOperations = 16_384
	// rememberedPaths bounds the withdrawn adapter versions whose paths are still known.
	rememberedPaths = 16_384
)

// operationLog keeps the results of the last operations. The map holds positions and not results, to keep it small.
type operationLog struct {
	position map[string]int
	results  []Result
	// next is the position of the oldest result once the log is full.
	next int
}

func newOperationLog() *operationLog { return &operationLog{position: map[string]int{}} }

func (l *operationLog) find(id string) (Result, bool) {
	at, found := l.position[id]
	if !found {
		return Result{}, false
	}
	return l.results[at], true
}

func (l *operationLog) add(result Result) {
	if len(l.results) < rememberedOperations {
		l.position[result.OperationID] = len(l.results)
		l.results = append(l.results, result)
		return
	}
	delete(l.position, l.results[l.next].OperationID)
	l.position[result.OperationID] = l.next
	l.results[l.next] = result
	l.next = (l.next + 1) % rememberedOperations
}

// list returns the kept results, oldest first.
func (l *operationLog) list() []Result {
	return append(append(make([]Result, 0, len(l.results)), l.results[l.next:]...), l.results[:l.next]...)
}

// RetiredPath is a withdrawn adapter version and its path, as hashes to keep it small.
type RetiredPath struct {
	Version uint64 `json:"version"`
	Path    uint64 `json:"path"`
}

// retiredPaths remembers the paths of withdrawn adapter versions, so that a version that is withdrawn and declared
// again keeps its path. Engines may still hold its weights.
type retiredPaths struct {
	byVersion map[uint64]uint64
	order     []RetiredPath
	next      int
}

func newRetiredPaths() *retiredPaths { return &retiredPaths{byVersion: map[uint64]uint64{}} }

func hashVersion(adapter, version string) uint64 { return xxhash.Sum64String(adapter + "@" + version) }

// allows reports whether the version is new or has the path that it had before it was withdrawn.
func (r *retiredPaths) allows(adapter string, version AdapterVersion) bool {
	path, known := r.byVersion[hashVersion(adapter, version.Name)]
	return !known || path == xxhash.Sum64String(version.Path)
}

// replace remembers the versions of current that next, which may be nil, no longer declares.
func (r *retiredPaths) replace(current, next item) {
	before, ok := current.(*Adapter)
	if !ok {
		return
	}
	after, _ := next.(*Adapter)
	for _, version := range before.Spec.Versions {
		if after != nil {
			if _, kept := after.Version(version.Name); kept {
				continue
			}
		}
		r.add(RetiredPath{Version: hashVersion(before.Name, version.Name), Path: xxhash.Sum64String(version.Path)})
	}
}

func (r *retiredPaths) add(retired RetiredPath) {
	if _, known := r.byVersion[retired.Version]; known {
		return
	}
	r.byVersion[retired.Version] = retired.Path
	if len(r.order) < rememberedPaths {
		r.order = append(r.order, retired)
		return
	}
	delete(r.byVersion, r.order[r.next].Version)
	r.order[r.next] = retired
	r.next = (r.next + 1) % rememberedPaths
}

// paths returns the kept entries, oldest first.
func (r *retiredPaths) paths() []RetiredPath {
	return append(append(make([]RetiredPath, 0, len(r.order)), r.order[r.next:]...), r.order[:r.next]...)
}
