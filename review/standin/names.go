package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

// namesFile holds the names of the platform's protocol, and the parts of its records that the cases have in common.
//
//go:embed names.json
var namesFile []byte

// object is a JSON object whose fields the cases change.
type object = map[string]any

// names is the content of namesFile.
type names struct {
	Headers struct {
		Request, Deadline, Model, Tokens, Prompt, LastEvent, ExpectServer, Server, Digest, NotRun, Era string
	}
	Paths struct {
		Append, Read, Newest, Join, Leave, Owners, Report, Order string
	}
	Topics struct{ Operator, Servers string }
	Route  object
	// ShortRoute holds the times of a route whose answers are wanted soon.
	ShortRoute object
	Engine     object
	Limits     object
	Entry      object
	// Settings are those of a node that all cases share.
	Settings object
}

// wire holds the names of the platform's protocol.
var wire = loadNames()

func loadNames() (loaded names) {
	if err := json.Unmarshal(namesFile, &loaded); err != nil {
		panic(err)
	}
	return loaded
}

// with returns a copy of an object with other values of some fields.
func with(base, changes object) object {
	changed := maps.Clone(base)
	maps.Copy(changed, changes)
	return changed
}

// route returns a route of the host siteHost whose name is its path prefix.
func route(name, kind, service string, changes object) object {
	own := object{
		"name": name, "host": siteHost, "pathPrefix": "/" + name + "/", "routeType": kind, "service": service,
		"resumable": false,
	}
	return with(with(wire.Route, own), changes)
}

// configuration returns a configuration of the operators.
func configuration(version int, routes, services []any) object {
	return object{"version": version, "routes": routes, "services": services, "limits": wire.Limits}
}

// plainService returns the description of a plain service.
func plainService(name string) object { return object{"name": name, "maxConnections": 96} }

// modelService returns the description of a service of model servers.
func modelService(name string, engine object) object {
	return object{"name": name, "maxConnections": 360, "engine": engine}
}
