// Package settings loads and validates the settings file of a host, which is JSON with comments.
package settings

import (
	"os"
	"time"

	"hickorypath/internal/core/kind"
)

// Settings are the validated settings of one host.
type Settings struct {
	raw settingsFile
}

type settingsFile struct {
	Host        string     `json:"host"`
	Zone        string     `json:"zone"`
	Environment string     `json:"environment"`
	Caller      Listener   `json:"caller"`
	Admin       Listener   `json:"admin"`
	Operators   []Operator `json:"operators"`
	Peer        Peer       `json:"peer"`
	Platform    Platform   `json:"platform"`
	Services    []Service  `json:"services"`
	Log         string     `json:"log"`
	Memory      int64      `json:"memory"`
	Timeout     Timeouts   `json:"timeout"`
	Drain       Drain      `json:"drain"`
	Window      Duration   `json:"window"`
}

// Listener is a listen address with an optional TLS certificate and key file.
type Listener struct {
	Listen string `json:"listen"`
	Cert   string `json:"cert"`
	Key    string `json:"key"`
}

// IsTLS reports whether the listener uses TLS.
func (l Listener) IsTLS() bool { return l.Cert != "" }

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

// MinSecretBytes is the minimum length in bytes of the secret that hosts share.
const MinSecretBytes = 16

// Peer holds the listen address for traffic between hosts, and the shared secret or the certificates that authenticate it.
type Peer struct {
	Listen string `json:"listen"`
	Secret string `json:"secret"`
	Cert   string `json:"cert"`
	Key    string `json:"key"`
	CA     string `json:"ca"`
	Hosts  []Host `json:"hosts"` // contacted to join the cluster while the platform's list of hosts is unavailable
}

// Host is the ID, the availability zone and the address of another host.
type Host struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Store     string `json:"store"`
	Provision string `json:"provision"`
	Usage     string `json:"usage"`
	Roster    string `json:"roster"`
}

// Service is one address of a plain HTTP service to which the router forwards requests, and the pool that it belongs to.
type Service struct {
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// Timeouts are the time limits of the host's calls to the platform and to upstreams, of its leases and of its shutdown.
type Timeouts struct {
	Store    Duration `json:"store"`
	Order    Duration `json:"order"`
	Lease    Duration `json:"lease"`
	Connect  Duration `json:"connect"`
	Shutdown Duration `json:"shutdown"`
}

// Drain configures the start of a shutdown. Notice is how long the host continues to accept connections while the load
// balancer notices that the host is leaving.
type Drain struct {
	Notice Duration `json:"notice"`
}

// Defaults for settings that the file omits.
const (
	defaultStoreTimeout    = 2 * time.Second
	defaultOrderTimeout    = 5 * time.Second
	defaultLease           = 15 * time.Second
	defaultConnectTimeout  = 1 * time.Second
	defaultShutdownTimeout = 5 * time.Minute
	defaultDrainNotice     = 3 * time.Second
	defaultWindow          = 1 * time.Minute
	defaultLog             = "info"
)

// New parses and validates data. Error messages use name as the file name. A secret or token that is written as
// "env:NAME" is replaced by the value of getenv("NAME").
func New(data []byte, name string, getenv func(string) string) (*Settings, error) {
	f, root, err := decode(data, name)
	if err != nil {
		return nil, err
	}
	applyDefaults(f)
	c := &checker{file: name, data: data, root: root}
	c.check(f, getenv)
	if len(c.faults) > 0 {
		return nil, c.err()
	}
	return &Settings{raw: *f}, nil
}

// Load reads and validates the file at path. Values written as "env:NAME" come from the environment of the process.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot read settings file %s", path)
	}
	return New(data, path, os.Getenv)
}

func applyDefaults(f *settingsFile) {
	setDefault(&f.Timeout.Store, defaultStoreTimeout)
	setDefault(&f.Timeout.Order, defaultOrderTimeout)
	setDefault(&f.Timeout.Lease, defaultLease)
	setDefault(&f.Timeout.Connect, defaultConnectTimeout)
	setDefault(&f.Timeout.Shutdown, defaultShutdownTimeout)
	setDefault(&f.Drain.Notice, defaultDrainNotice)
	setDefault(&f.Window, defaultWindow)
	if f.Log == "" {
		f.Log = defaultLog
	}
}

func setDefault(d *Duration, value time.Duration) {
	if *d == 0 {
		*d = Duration(value)
	}
}

// Host returns the name of the host.
func (s *Settings) Host() string { return s.raw.Host }

// Zone returns the availability zone of the host.
func (s *Settings) Zone() string { return s.raw.Zone }

// Environment returns the name of the environment, such as trial or production.
func (s *Settings) Environment() string { return s.raw.Environment }

// Caller returns the listener for callers.
func (s *Settings) Caller() Listener { return s.raw.Caller }

// Admin returns the listener for operators.
func (s *Settings) Admin() Listener { return s.raw.Admin }

// Operators returns the operators who may use the operators' API.
func (s *Settings) Operators() []Operator { return s.raw.Operators }

// Peer returns the settings for traffic between hosts.
func (s *Settings) Peer() Peer { return s.raw.Peer }

// Platform returns the addresses of the platform's services.
func (s *Settings) Platform() Platform { return s.raw.Platform }

// Services returns the addresses of the plain HTTP services.
func (s *Settings) Services() []Service { return s.raw.Services }

// Log returns the log level.
func (s *Settings) Log() string { return s.raw.Log }

// MemoryBytes returns the memory that the host may use, in bytes; 0 if the settings do not say.
func (s *Settings) MemoryBytes() int64 { return s.raw.Memory << 20 }

// StoreTimeout returns the time limit of one call to the key-value service.
func (s *Settings) StoreTimeout() time.Duration { return time.Duration(s.raw.Timeout.Store) }

// OrderTimeout returns the time limit of one order to the platform, which is a request to start or stop an upstream. It
// also limits one usage report to the platform.
func (s *Settings) OrderTimeout() time.Duration { return time.Duration(s.raw.Timeout.Order) }

// Lease returns the time after which a lease expires unless it is renewed.
func (s *Settings) Lease() time.Duration { return time.Duration(s.raw.Timeout.Lease) }

// ConnectTimeout returns the time limit for opening a connection to an upstream.
func (s *Settings) ConnectTimeout() time.Duration { return time.Duration(s.raw.Timeout.Connect) }

// ShutdownTimeout returns the time limit of a graceful shutdown.
func (s *Settings) ShutdownTimeout() time.Duration { return time.Duration(s.raw.Timeout.Shutdown) }

// DrainNotice returns how long a host that is shutting down continues to accept connections.
func (s *Settings) DrainNotice() time.Duration { return time.Duration(s.raw.Drain.Notice) }

// Window returns the length of a usage window.
func (s *Settings) Window() time.Duration { return time.Duration(s.raw.Window) }
