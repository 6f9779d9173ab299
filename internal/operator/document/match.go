package document

import (
	"slices"
	"strings"

	"hickorypath/internal/core/kind"
)

// RouteModel returns the route and class of a request for a model. An empty customer stands for a caller without a
// key, an empty class for the default class of the route. The error is of kind NoModel, NoKey or Forbidden.
func (d *Document) RouteModel(model, customer, class string) (*Route, *Class, error) {
	routes := d.index.models[model]
	if len(routes) == 0 && customer == "" {
		return nil, nil, kind.New(kind.NoKey, "the model needs a key") // callers without a key must not learn which models exist
	}
	if len(routes) == 0 {
		return nil, nil, kind.New(kind.NoModel, "no route serves the model %q", model)
	}
	return d.selectRoute(routes, customer, class)
}

// RoutePath returns the route and class of a request for a path of an HTTP service. The route with the longest
// matching path prefix is chosen. An empty customer stands for a caller without a key, an empty class for the
// default class of the route. The error is of kind NoRoute, MethodNotAllowed, NoKey or Forbidden.
func (d *Document) RoutePath(path, method, customer, class string) (*Route, *Class, error) {
	routes := d.routesUnderPath(path)
	if len(routes) == 0 {
		return nil, nil, kind.New(kind.NoRoute, "no route serves the path")
	}
	var taking []*Route
	for _, r := range routes {
		if r.AllowsMethod(method) {
			taking = append(taking, r)
		}
	}
	if len(taking) == 0 {
		return nil, nil, kind.New(kind.MethodNotAllowed, "the path does not take %s", method)
	}
	return d.selectRoute(taking, customer, class)
}

// Models returns the sorted names of the models that the customer may use.
func (d *Document) Models(customer string) []string {
	var models []string
	for model, routes := range d.index.models {
		if slices.ContainsFunc(routes, func(r *Route) bool { return d.allowsCustomer(r, customer) }) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// routesUnderPath returns the routes with the longest path that equals path or is one of its parents.
func (d *Document) routesUnderPath(path string) []*Route {
	if !strings.HasPrefix(path, "/") || hasDots(path) {
		return nil
	}
	for at := trimPath(path); at != ""; at = at[:strings.LastIndexByte(at, '/')] {
		if routes := d.index.paths[at]; len(routes) > 0 {
			return routes
		}
	}
	return d.index.paths["/"]
}

// hasDots reports whether a segment of the path is "." or "..".
func hasDots(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// allowsCustomer reports whether the customer may use the route. Unless the route is open to callers without a key,
// the customer must also be defined.
func (d *Document) allowsCustomer(r *Route, customer string) bool {
	if r.allowsAnonymous {
		return true
	}
	_, known := d.index.customers[customer]
	return known && r.AllowsCustomer(customer)
}

// selectRoute returns the first of the routes that the customer may use, and the class of the request on it.
func (d *Document) selectRoute(routes []*Route, customer, class string) (*Route, *Class, error) {
	for _, r := range routes {
		if !d.allowsCustomer(r, customer) {
			continue
		}
		c, err := d.selectClass(r, class)
		return r, c, err
	}
	if customer == "" {
		return nil, nil, kind.New(kind.NoKey, "the route needs a key")
	}
	return nil, nil, kind.New(kind.Forbidden, "the route is not for customer %q", customer)
}

func (d *Document) selectClass(r *Route, class string) (*Class, error) {
	if class == "" || class == r.class {
		return d.index.classes[r.class], nil
	}
	if !slices.Contains(r.classes, class) {
		return nil, kind.New(kind.Forbidden, "route %q does not allow the class", r.name)
	}
	return d.index.classes[class], nil
}
