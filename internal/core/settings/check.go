package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"hickorypath/internal/core/kind"
)

// Duration is a time.Duration that is a string such as "1.5s" in JSON.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	text, err := strconv.Unquote(string(data))
	if err != nil {
		return fmt.Errorf("a duration is a string such as \"1.5s\", not %s", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

type checker struct {
	file   string
	data   []byte
	root   hujson.Value
	faults []string
}

func decode(data []byte, name string) (*settingsFile, hujson.Value, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, root, kind.Wrap(err, kind.Settings, "%s: file is not valid JSON with comments", name)
	}
	plain := root.Clone()
	plain.Standardize()
	dec := json.NewDecoder(bytes.NewReader(plain.Pack()))
	dec.DisallowUnknownFields()
	var f settingsFile
	if err := dec.Decode(&f); err != nil {
		line, col := lineColumn(data, int(dec.InputOffset()))
		return nil, root, kind.New(kind.Settings, "%s:%d:%d: %s; see docs/operate/settings.md for the fields", name, line, col, strings.TrimPrefix(err.Error(), "json: "))
	}
	return &f, root, nil
}

func (c *checker) check(f *settingsFile, getenv func(string) string) {
	c.required("/host", f.Host, "name this host, unique in the environment")
	c.required("/zone", f.Zone, "name the host's availability zone")
	c.required("/environment", f.Environment, "name the environment, such as trial or production")
	c.listener("/caller", f.Caller)
	c.listener("/admin", f.Admin)
	c.address("/peer/listen", f.Peer.Listen)
	c.secret("/peer/secret", &f.Peer.Secret, getenv)
	if n := len(f.Peer.Secret); n > 0 && n < MinSecretBytes {
		c.addFault("/peer/secret", fmt.Sprintf("has %d bytes", n), fmt.Sprintf("set at least %d random bytes", MinSecretBytes))
	}
	if f.Peer.Secret == "" && f.Peer.Cert == "" {
		c.addFault("/peer", "has neither a shared secret nor certificates", "set \"secret\": \"env:NAME\", or cert, key and ca")
	}
	for i, h := range f.Peer.Hosts {
		at := fmt.Sprintf("/peer/hosts/%d", i)
		c.required(at+"/host", h.Host, "name the host as its own settings do")
		c.required(at+"/zone", h.Zone, "name the host's availability zone")
		c.address(at+"/addr", h.Addr)
	}
	c.url("/platform/store", f.Platform.Store)
	c.url("/platform/provision", f.Platform.Provision)
	c.url("/platform/usage", f.Platform.Usage)
	c.url("/platform/roster", f.Platform.Roster)
	c.operators(f.Operators, getenv)
	for i, s := range f.Services {
		c.required(fmt.Sprintf("/services/%d/pool", i), s.Pool, "name the document's pool that the service belongs to")
		c.address(fmt.Sprintf("/services/%d/addr", i), s.Addr)
	}
	switch f.Log {
	case "debug", "info", "warn", "error":
	default:
		c.addFault("/log", fmt.Sprintf("log level %q does not exist", f.Log), "use debug, info, warn or error")
	}
	if f.Memory < 0 || f.Memory > maxMemoryMiB {
		c.addFault("/memory", "is not a possible size", "write the memory of the host in MiB")
	}
	c.positive("/timeout/store", f.Timeout.Store)
	c.positive("/timeout/order", f.Timeout.Order)
	c.positive("/timeout/lease", f.Timeout.Lease)
	if f.Timeout.Order >= f.Timeout.Lease {
		c.addFault("/timeout/order", "is not shorter than the lease under which orders are given", "shorten timeout.order or lengthen timeout.lease")
	}
	c.positive("/timeout/connect", f.Timeout.Connect)
	c.positive("/timeout/shutdown", f.Timeout.Shutdown)
	c.positive("/drain/notice", f.Drain.Notice)
	c.positive("/window", f.Window)
}

// maxMemoryMiB is a size beyond that of any host, in MiB.
const maxMemoryMiB = 1 << 30

func (c *checker) required(pointer, value, remedy string) {
	if value == "" {
		c.addFault(pointer, "is missing or empty", remedy)
	}
}

func (c *checker) operators(list []Operator, getenv func(string) string) {
	if len(list) == 0 {
		c.addFault("/operators", "names no operator", "list at least one, with a name and a token such as \"env:HICKORYPATH_TOKEN\"")
	}
	for i := range list {
		at := fmt.Sprintf("/operators/%d", i)
		c.required(at+"/name", list[i].Name, "name the operator, for the history of changes")
		c.required(at+"/token", list[i].Token, "set a token, such as \"env:HICKORYPATH_TOKEN\"")
		c.secret(at+"/token", &list[i].Token, getenv)
	}
}

func (c *checker) positive(pointer string, d Duration) {
	if d <= 0 {
		c.addFault(pointer, "is not a positive duration", "write a duration such as \"2s\"")
	}
}

func (c *checker) listener(pointer string, l Listener) {
	c.address(pointer+"/listen", l.Listen)
	if (l.Cert == "") != (l.Key == "") {
		c.addFault(pointer, "has only one of cert and key", "set both for TLS, or neither")
	}
}

func (c *checker) address(pointer, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(pointer, fmt.Sprintf("%q is not an IP address with a port", value), "write it as \"10.0.0.1:8080\"")
	}
}

func (c *checker) url(pointer, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.addFault(pointer, fmt.Sprintf("%q is not a base URL", value), "write it as \"http://10.0.0.1:9000\"")
	}
}

func (c *checker) secret(pointer string, value *string, getenv func(string) string) {
	name, ok := strings.CutPrefix(*value, "env:")
	if !ok {
		return
	}
	*value = getenv(name)
	if *value == "" {
		c.addFault(pointer, fmt.Sprintf("environment variable %s is empty", name), "set it before the host starts")
	}
}

func (c *checker) addFault(pointer, problem, remedy string) {
	line, col := lineColumn(c.data, c.offset(pointer))
	c.faults = append(c.faults, fmt.Sprintf("%s:%d:%d: %s %s; %s", c.file, line, col, strings.ReplaceAll(pointer[1:], "/", "."), problem, remedy))
}

// offset returns the byte offset at which the value at pointer starts. When the file has no such value, offset returns
// that of the nearest ancestor that exists.
func (c *checker) offset(pointer string) int {
	for pointer != "" {
		if v := c.root.Find(pointer); v != nil {
			return v.StartOffset
		}
		pointer = pointer[:strings.LastIndex(pointer, "/")]
	}
	return c.root.StartOffset
}

func (c *checker) err() error {
	return kind.New(kind.Settings, "%d faults\n%s", len(c.faults), strings.Join(c.faults, "\n"))
}

func lineColumn(data []byte, offset int) (line, col int) {
	offset = min(offset, len(data))
	before := data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	col = offset - bytes.LastIndexByte(before, '\n')
	return line, col
}
