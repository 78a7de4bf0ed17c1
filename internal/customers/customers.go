// Package customers finds the customers of requests in a configuration, by the digests of their API keys or by name.
package customers

import "waxwingcleat.example/waxwingcleat/internal/serving"

// Directory holds the customers of one configuration. It is immutable.
type Directory struct {
	required bool
	byKey    map[serving.KeyDigest]*serving.Customer
	byName   map[string]*serving.Customer
}

// New returns the directory of a configuration, and the problems with its customers. A key that several customers have
// belongs to none of them.
func New(config *serving.Configuration) (*Directory, []serving.CustomerProblem) {
	d := &Directory{
		required: config.HasCustomers(),
		byKey:    make(map[serving.KeyDigest]*serving.Customer), byName: make(map[string]*serving.Customer),
	}
	problems := config.CustomerProblems[:len(config.CustomerProblems):len(config.CustomerProblems)]
	first := make(map[serving.KeyDigest]*serving.Customer)
	for i := range config.Customers {
		customer := &config.Customers[i]
		if d.byName[customer.Name] != nil {
			continue
		}
		d.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			switch owner := first[key]; owner {
			case nil:
				first[key], d.byKey[key] = customer, customer
			case customer:
			default:
				delete(d.byKey, key)
				problems = append(problems, serving.CustomerProblem{
					Customer: owner.Name, Other: customer.Name, Reason: "two customers have the same key",
				})
			}
		}
	}
	return d, problems
}

// Required reports whether the configuration has customers, so that requests need a key.
func (d *Directory) Required() bool { return d.required }

// ByKey returns the customer of a key, or nil.
func (d *Directory) ByKey(key serving.KeyDigest) *serving.Customer { return d.byKey[key] }

// ByName returns the customer with a name, or nil.
func (d *Directory) ByName(name string) *serving.Customer { return d.byName[name] }
