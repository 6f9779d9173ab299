package document

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// reservedPaths are the paths that the router serves itself.
var reservedPaths = []string{"/v1/chat/completions", "/v1/models"}

// check reports the faults that concern more than one field.
func check(r *reader, d *draft) {
	checkUnique(r, "customer", d.customers, func(c *Customer) string { return c.name })
	checkUnique(r, "class", d.classes, func(c *Class) string { return c.name })
	checkUnique(r, "pool", d.pools, func(p *Pool) string { return p.name })
	checkUnique(r, "route", d.routes, func(t *Route) string { return t.name })
	checkClasses(r, d.classes)
	for _, p := range d.pools {
		checkPool(r, p)
	}
	names := newDefinedNames(d)
	for _, e := range d.routes {
		checkTarget(r, e, names)
		checkNames(r, e, names)
		checkConsistency(r, e, names)
	}
	checkOverlap(r, d.routes)
}

func checkUnique[T any](r *reader, what string, entries []*entry[T], nameOf func(*T) string) {
	first := make(map[string]int, len(entries))
	for _, e := range entries {
		name := nameOf(&e.value)
		if name == "" {
			continue
		}
		at := e.offsetOf("name", wholeField)
		if prior, ok := first[name]; ok {
			line, column := r.locator.position(prior)
			r.fault(at, "rename or remove one of the two", "%s %q is defined twice, first at %d:%d", what, name, line, column)
			continue
		}
		first[name] = at
	}
}

func checkClasses(r *reader, entries []*entry[Class]) {
	sum := 0.0
	for _, e := range entries {
		checkClass(r, e)
		sum += e.value.guaranteedShare
		if sum > 1+1e-9 {
			r.fault(e.offsetOf("share", wholeField), "lower the shares so that their sum is at most 1", "the shares of all classes up to %q sum to %.4g", e.value.name, sum)
			return
		}
	}
}

func checkClass(r *reader, e *entry[Class]) {
	c := &e.value
	if c.total > 0 && c.firstToken >= c.total {
		r.fault(e.offsetOf("first", wholeField), "make first shorter than whole", "the target for the first token, %s, cannot be met within the whole answer, %s", formatDuration(c.firstToken), formatDuration(c.total))
	}
	if c.total > 0 && c.tokenGap >= c.total {
		r.fault(e.offsetOf("gap", wholeField), "make gap shorter than whole", "the target between tokens, %s, cannot be met within the whole answer, %s", formatDuration(c.tokenGap), formatDuration(c.total))
	}
	if c.total > 0 && e.has("wait") && c.maxQueueTime >= c.total {
		r.fault(e.offsetOf("wait", wholeField), "make wait shorter than whole", "a request that was queued for %s cannot end within the whole answer, %s", formatDuration(c.maxQueueTime), formatDuration(c.total))
	}
	if e.has("solid") && !c.allowsReclaimable {
		r.fault(e.offsetOf("solid", wholeField), "set cheap to true, or remove solid", "class %q keeps a share on durable upstreams but may not run on any other", c.name)
	}
}

func checkPool(r *reader, e *entry[Pool]) {
	p := &e.value
	if p.kind == Engine && !e.has("model") {
		r.fault(e.offset, `add "model"`, "pool %q of engines names no model", p.name)
	}
	if p.kind == Service && e.has("model") {
		r.fault(e.offsetOf("model", wholeField), "remove it, or make the pool's kind engine", "pool %q of services cannot load a model", p.name)
	}
	if e.has("max") && p.min > p.max {
		r.fault(e.offsetOf("min", wholeField), "make min at most max", "pool %q keeps at least %d upstreams but orders at most %d", p.name, p.min, p.max)
	}
}

// definedNames holds the objects that routes may refer to, by name.
type definedNames struct {
	customers map[string]bool
	classes   map[string]*Class
	pools     map[string]*Pool
}

func newDefinedNames(d *draft) *definedNames {
	n := &definedNames{customers: map[string]bool{}, classes: map[string]*Class{}, pools: map[string]*Pool{}}
	for _, e := range d.customers {
		n.customers[e.value.name] = true
	}
	for _, e := range d.classes {
		n.classes[e.value.name] = &e.value
	}
	for _, e := range d.pools {
		n.pools[e.value.name] = &e.value
	}
	return n
}

// checkTarget reports faults in what a route serves (a model or a path) and in the pool that it names.
func checkTarget(r *reader, e *entry[Route], n *definedNames) {
	t := &e.value
	switch {
	case e.has("model") && e.has("path"):
		r.fault(e.offsetOf("path", wholeField), "keep one of the two", "route %q gives both a model and a path", t.name)
	case !e.has("model") && !e.has("path"):
		r.fault(e.offset, `add "model" or "path"`, "route %q gives neither a model nor a path", t.name)
	}
	if t.path != "" {
		checkPath(r, e)
	}
	if e.has("methods") && !e.has("path") {
		r.fault(e.offsetOf("methods", wholeField), "remove it", "route %q of a model takes no methods", t.name)
	}
	p, ok := n.pools[t.pool]
	if t.pool == "" {
		return
	}
	if !ok {
		r.fault(e.offsetOf("pool", wholeField), "define the pool, or name another", "route %q names pool %q, which is not defined", t.name, t.pool)
		return
	}
	if !e.has("model") || !e.has("path") {
		checkPoolKind(r, e, p)
	}
}

func checkPoolKind(r *reader, e *entry[Route], p *Pool) {
	t := &e.value
	if t.model != "" && p.kind == Service {
		r.fault(e.offsetOf("pool", wholeField), "name a pool of engines", "route %q serves a model, but pool %q is one of services", t.name, p.name)
	}
	if t.path != "" && p.kind == Engine {
		r.fault(e.offsetOf("pool", wholeField), "name a pool of services", "route %q serves a path, but pool %q is one of engines", t.name, p.name)
	}
	if t.model != "" && p.model != "" && t.model != p.model {
		r.fault(e.offsetOf("model", wholeField), fmt.Sprintf("write %q, or name another pool", p.model), "route %q serves model %q, but pool %q loads %q", t.name, t.model, p.name, p.model)
	}
}

func checkPath(r *reader, e *entry[Route]) {
	p := e.value.path
	at := e.offsetOf("path", wholeField)
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#*{} ") || trimPath(path.Clean(p)) != trimPath(p) {
		r.fault(at, `write an absolute path such as "/dues"`, "path %q cannot be served", p)
		return
	}
	for _, reserved := range reservedPaths {
		if trimPath(p) == reserved || strings.HasPrefix(p, reserved+"/") {
			r.fault(at, "choose another path", "path %q is served by the router itself", p)
		}
	}
}

// checkNames reports the classes and customers that a route names and that are not defined.
func checkNames(r *reader, e *entry[Route], n *definedNames) {
	t := &e.value
	if _, ok := n.classes[t.class]; !ok && t.class != "" {
		r.fault(e.offsetOf("class", wholeField), "define the class, or name another", "route %q names class %q, which is not defined", t.name, t.class)
	}
	for i, c := range t.classes {
		if _, ok := n.classes[c]; !ok {
			r.fault(e.offsetOf("classes", i), "define the class, or remove the name", "route %q names class %q, which is not defined", t.name, c)
		}
	}
	for i, c := range t.customers {
		if !n.customers[c] {
			r.fault(e.offsetOf("customers", i), "define the customer, or remove the name", "route %q names customer %q, which is not defined", t.name, c)
		}
	}
}

// checkConsistency reports settings of a route that contradict each other or the route's class.
func checkConsistency(r *reader, e *entry[Route], n *definedNames) {
	t := &e.value
	if t.allowsAnonymous && len(t.customers) > 0 {
		r.fault(e.offsetOf("open", wholeField), "remove open or customers", "route %q is open to all and also kept to listed customers", t.name)
	}
	c, ok := n.classes[t.class]
	if !ok {
		return
	}
	if c.total > 0 && e.has("timeout") && t.timeout < c.total {
		r.fault(e.offsetOf("timeout", wholeField), fmt.Sprintf("make timeout at least %s", formatDuration(c.total)), "route %q gives up after %s, before the target of class %q, %s", t.name, formatDuration(t.timeout), c.name, formatDuration(c.total))
	}
	if c.firstToken > 0 && e.has("timeout") && t.timeout < c.firstToken {
		r.fault(e.offsetOf("timeout", wholeField), fmt.Sprintf("make timeout longer than %s", formatDuration(c.firstToken)), "route %q gives up after %s, before the first token of class %q is due, %s", t.name, formatDuration(t.timeout), c.name, formatDuration(c.firstToken))
	}
}

// checkOverlap reports routes that can never be chosen because an earlier route takes all their requests.
func checkOverlap(r *reader, entries []*entry[Route]) {
	byTarget := make(map[string][]*entry[Route])
	for _, e := range entries {
		target := e.value.model
		if target == "" {
			target = trimPath(e.value.path)
		}
		if target == "" {
			continue
		}
		for _, prior := range byTarget[target] {
			if overlaps(&prior.value, &e.value) {
				r.fault(e.offset, "remove one, or give them different customers or methods", "route %q never serves: route %q already takes %q for the same customers and methods", e.value.name, prior.value.name, target)
				break
			}
		}
		byTarget[target] = append(byTarget[target], e)
	}
}

// overlaps reports whether route a takes every request that route b would take for the same model or path.
func overlaps(a, b *Route) bool {
	return covers(a.methods, b.methods) && (a.allowsAnonymous || (!b.allowsAnonymous && covers(a.customers, b.customers)))
}

// covers reports whether list a contains every element of list b. An empty list stands for all elements.
func covers(a, b []string) bool {
	if len(a) == 0 {
		return true
	}
	if len(b) == 0 {
		return false
	}
	return !slices.ContainsFunc(b, func(s string) bool { return !slices.Contains(a, s) })
}

// trimPath removes the trailing slash of a path other than "/".
func trimPath(p string) string {
	if p == "/" {
		return p
	}
	return strings.TrimSuffix(p, "/")
}
