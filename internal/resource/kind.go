package resource

import (
	"maps"
	"slices"
	"strings"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Kinds returns every kind of resource.
func Kinds() []Kind {
	return []Kind{KindAdapter, KindPlacement, KindPriorityClass, KindBackendServer, KindService}
}

// Valid reports whether k is one of Kinds.
func (k Kind) Valid() bool { return slices.Contains(Kinds(), k) }

func kindNames() string {
	names := make([]string, 0, len(Kinds()))
	for _, kind := range Kinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// Object is the encoding of a resource of any kind in the API and in snapshots.
type Object struct {
	Kind            Kind            `json:"kind"`
	Name            string          `json:"name"`
	ResourceVersion platform.Offset `json:"resourceVersion"`
	// Spec is a pointer to the spec type of the kind. It is shared and must not be modified.
	Spec any `json:"spec"`
}

// item is a pointer to a resource of any kind.
type item interface {
	meta() *Meta
	specification() any
	check(c *checker)
}

func (m *Meta) meta() *Meta { return m }

func (a *Adapter) specification() any       { return &a.Spec }
func (p *Placement) specification() any     { return &p.Spec }
func (p *PriorityClass) specification() any { return &p.Spec }
func (b *BackendServer) specification() any { return &b.Spec }
func (s *Service) specification() any       { return &s.Spec }

func newItem(kind Kind) item {
	switch kind {
	case KindAdapter:
		return &Adapter{}
	case KindPlacement:
		return &Placement{}
	case KindPriorityClass:
		return &PriorityClass{}
	case KindBackendServer:
		return &BackendServer{}
	case KindService:
		return &Service{}
	}
	return nil
}

func objectOf(kind Kind, i item) Object {
	return Object{Kind: kind, Name: i.meta().Name, ResourceVersion: i.meta().ResourceVersion, Spec: i.specification()}
}

func emptyView() *View {
	return &View{
		Adapters:        map[string]*Adapter{},
		Placements:      map[string]*Placement{},
		PriorityClasses: map[string]*PriorityClass{},
		BackendServers:  map[string]*BackendServer{},
		Services:        map[string]*Service{},
	}
}

// Get returns one resource, or false when it does not exist.
func (v *View) Get(kind Kind, name string) (Object, bool) {
	found := v.find(kind, name)
	if found == nil {
		return Object{}, false
	}
	return objectOf(kind, found), true
}

// Version returns the resource's version, or 0 when it does not exist.
func (v *View) Version(kind Kind, name string) platform.Offset {
	found := v.find(kind, name)
	if found == nil {
		return 0
	}
	return found.meta().ResourceVersion
}

// List returns the resources of one kind, sorted by name.
func (v *View) List(kind Kind) []Object {
	switch kind {
	case KindAdapter:
		return listOf(kind, v.Adapters)
	case KindPlacement:
		return listOf(kind, v.Placements)
	case KindPriorityClass:
		return listOf(kind, v.PriorityClasses)
	case KindBackendServer:
		return listOf(kind, v.BackendServers)
	case KindService:
		return listOf(kind, v.Services)
	}
	return nil
}

func (v *View) find(kind Kind, name string) item {
	switch kind {
	case KindAdapter:
		return lookup(v.Adapters, name)
	case KindPlacement:
		return lookup(v.Placements, name)
	case KindPriorityClass:
		return lookup(v.PriorityClasses, name)
	case KindBackendServer:
		return lookup(v.BackendServers, name)
	case KindService:
		return lookup(v.Services, name)
	}
	return nil
}

// lookup returns a nil interface, not a nil pointer in an interface, when the name is absent.
func lookup[T item](resources map[string]T, name string) item {
	found, ok := resources[name]
	if !ok {
		return nil
	}
	return found
}

func listOf[T item](kind Kind, resources map[string]T) []Object {
	objects := make([]Object, 0, len(resources))
	for _, name := range slices.Sorted(maps.Keys(resources)) {
		objects = append(objects, objectOf(kind, resources[name]))
	}
	return objects
}

// draft is the next view while a batch is applied. The map of a kind is copied on its first change only, because most
// batches change one resource.
type draft struct {
	view   View
	cloned map[Kind]bool
}

func newDraft(from *View) *draft { return &draft{view: *from, cloned: map[Kind]bool{}} }

func (d *draft) put(kind Kind, name string, i item) {
	switch resource := i.(type) {
	case *Adapter:
		cloneOnce(d, kind, &d.view.Adapters)[name] = resource
	case *Placement:
		cloneOnce(d, kind, &d.view.Placements)[name] = resource
	case *PriorityClass:
		cloneOnce(d, kind, &d.view.PriorityClasses)[name] = resource
	case *BackendServer:
		cloneOnce(d, kind, &d.view.BackendServers)[name] = resource
	case *Service:
		cloneOnce(d, kind, &d.view.Services)[name] = resource
	}
}

func (d *draft) remove(kind Kind, name string) {
	switch kind {
	case KindAdapter:
		delete(cloneOnce(d, kind, &d.view.Adapters), name)
	case KindPlacement:
		delete(cloneOnce(d, kind, &d.view.Placements), name)
	case KindPriorityClass:
		delete(cloneOnce(d, kind, &d.view.PriorityClasses), name)
	case KindBackendServer:
		delete(cloneOnce(d, kind, &d.view.BackendServers), name)
	case KindService:
		delete(cloneOnce(d, kind, &d.view.Services), name)
	}
}

// cloneOnce returns the draft's own copy of a kind's map, which it clones on the first call.
func cloneOnce[T any](d *draft, kind Kind, resources *map[string]T) map[string]T {
	if !d.cloned[kind] {
		*resources = maps.Clone(*resources)
		d.cloned[kind] = true
	}
	return *resources
}
