package configsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/node"
	"hickorypath/internal/host/peer"
	"hickorypath/internal/operator/configsync"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/state/roster"
	"hickorypath/internal/state/store"
)

const (
	maxWithdrawalDelay = 2 * time.Second      // required bound on the time until a withdrawn key is rejected on every host
	latency            = 2 * time.Millisecond // one-way latency between availability zones
	settleTime         = 15 * time.Second
)

// network carries datagrams between sockets in virtual time and drops a fraction of them.
type network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	loss  float64
	conns map[string]*conn
}

// conn replaces a socket, under the same address, by a connection of network.
type conn struct {
	net.PacketConn
	network *network
	packets chan packet
	expired chan struct{} // closed by Close or by a read deadline in the past
	once    sync.Once
}

type packet struct {
	data []byte
	from net.Addr
}

func (n *network) wrap(socket net.PacketConn) net.PacketConn {
	c := &conn{PacketConn: socket, network: n, packets: make(chan packet, 1<<12), expired: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[socket.LocalAddr().String()] = c
	return c
}

func (c *conn) WriteTo(data []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	target, lost := n.conns[to.String()], n.rand.Float64() < n.loss
	if target != nil && !lost {
		p := packet{append([]byte(nil), data...), c.LocalAddr()}
		time.AfterFunc(latency, func() { target.packets <- p })
	}
	return len(data), nil
}

func (c *conn) ReadFrom(data []byte) (int, net.Addr, error) {
	select {
	case p := <-c.packets:
		return copy(data, p.data), p.from, nil
	case <-c.expired:
		return 0, nil, os.ErrDeadlineExceeded
	}
}

// SetReadDeadline ends reading if t has passed. Only the shutdown of a connection sets a deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		c.once.Do(func() { close(c.expired) })
	}
	return nil
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.expired) })
	return c.PacketConn.Close()
}

// host is a host with its key table, its access to the store and its Syncer.
type host struct {
	node       *node.Node
	keys       *key.Table
	document   *document.Active
	ready      *configsync.Readiness
	store      *store.Client
	repository *repository.Repository
	syncer     *configsync.Syncer
}

// startHosts runs the given number of hosts, each in an availability zone of its own, until ctx ends. The hosts learn of changes
// from their peers only.
func startHosts(ctx context.Context, t *testing.T, wg *sync.WaitGroup, n *network, hosts int) []*host {
	t.Helper()
	return startHostsWith(ctx, t, wg, n, hosts, store.NewMemory(clock.NewWall()), false)
}

// startHostsWith is like startHosts, with a given store, which the hosts watch if watch is set.
func startHostsWith(ctx context.Context, t *testing.T, wg *sync.WaitGroup, n *network, hosts int, memory *store.Memory, watch bool) []*host {
	t.Helper()
	is := is.New(t)
	config, err := peer.NewTLSFromSecret("a secret of more than 16 bytes")
	is.NoErr(err)
	clk := clock.NewWall()
	listed := make([]roster.Host, 0, hosts)
	list := make([]*host, 0, hosts)
	for i := range hosts {
		id := fmt.Sprintf("host-%d", i)
		h := &host{keys: key.NewTable(), document: document.NewActive(), ready: configsync.NewReadiness()}
		h.node, err = node.New(node.Options{
			ID: id, Zone: "zone-" + id, Addr: "127.0.0.1:0", TLS: config, Clock: clk, Log: zap.NewNop(), WrapConn: n.wrap,
			FetchRoster: func(context.Context) ([]roster.Host, error) { return listed, nil },
		})
		is.NoErr(err)
		listed = append(listed, roster.NewHost(id, "zone-"+id, h.node.Addr(), roster.Live))
		client := store.New(memory.Backend(), store.Options{Clock: clk, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		h.store = client
		h.repository = repository.New(repository.Options{KV: repository.NewKV(client), Now: time.Now})
		h.syncer = configsync.New(configsync.Options{
			Readiness:  h.ready,
			Repository: h.repository, Store: client, Replicator: h.node.Replicator(), Document: h.document, Keys: h.keys,
			Recovery: repository.New(repository.Options{KV: repository.NewRecoveryKV(client), Now: time.Now}),
			Log:      zap.NewNop(), IsWatcher: func() bool { return watch },
		})
		list = append(list, h)
	}
	for _, h := range list {
		wg.Go(func() { _ = h.node.Run(ctx) })
		wg.Go(func() { h.syncer.Run(ctx) })
	}
	return list
}

// TestWithdrawnKeyIsRefusedEverywhereWithinTwoSeconds measures the time from the response to the operator until every
// host rejects the key and has notified the running calls of the key.
func TestWithdrawnKeyIsRefusedEverywhereWithinTwoSeconds(t *testing.T) {
	const seeds = 8
	cases := []struct {
		name string
		loss float64
	}{
		{"no loss", 0},
		{"a fifth of the datagrams lost", 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(seeds) {
				n := &network{rand: rand.New(rand.NewPCG(seed, 2)), conns: map[string]*conn{}}
				synctest.Test(t, func(t *testing.T) { worst = max(worst, withdraw(t, n, c.loss)) })
			}
			t.Logf("longest delay of %d seeds: %s", seeds, worst)
			is.New(t).True(worst <= maxWithdrawalDelay)
		})
	}
}

// withdraw issues a key, withdraws the key and returns the time from the completed withdrawal until every host rejects
// the key.
func withdraw(t *testing.T, n *network, loss float64) time.Duration {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	hosts := startHosts(ctx, t, &wg, n, 7)
	time.Sleep(settleTime)
	clear, rec, err := hosts[0].repository.Issue(ctx, "laredo")
	is.NoErr(err)
	hosts[0].syncer.PublishKey(ctx, rec)
	time.Sleep(settleTime)
	n.mu.Lock()
	n.loss = loss
	n.mu.Unlock()
	running := make([]<-chan struct{}, 0, len(hosts))
	for _, h := range hosts {
		_, _, err := h.keys.Lookup(clear)
		is.NoErr(err)
		gone, _ := h.keys.Watch(rec.ID())
		running = append(running, gone)
	}
	rec, err = hosts[0].repository.Withdraw(ctx, rec.ID())
	is.NoErr(err)
	withdrawn := time.Now()
	hosts[0].syncer.PublishKey(ctx, rec)
	for i, h := range hosts {
		<-running[i]
		_, _, err := h.keys.Lookup(clear)
		is.Equal(kind.Of(err), kind.Withdrawn)
	}
	return time.Since(withdrawn)
}

// TestNewKeyIsRefusedByOtherHosts guards against a key that its customer gets before the other hosts know it.
func TestNewKeyIsRefusedByOtherHosts(t *testing.T) {
	cases := []struct {
		name string
		loss float64
	}{
		{"no loss", 0},
		{"a tenth of the packets is lost", 0.1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				defer wg.Wait()
				defer cancel()
				n := &network{rand: rand.New(rand.NewPCG(5, 6)), loss: c.loss, conns: map[string]*conn{}}
				hosts := startHosts(ctx, t, &wg, n, 5)
				time.Sleep(settleTime)
				for range 20 {
					clear, rec, err := hosts[0].repository.Issue(ctx, "laredo")
					is.NoErr(err)
					hosts[0].syncer.PublishKey(ctx, rec)
					for _, h := range hosts {
						_, _, err := h.keys.Lookup(clear)
						is.NoErr(err)
					}
				}
			})
		})
	}
}

// documentText returns a document whose only customer has the given name.
func documentText(customer string) []byte {
	return []byte(`{"customers":[{"name":"` + customer + `"}],"classes":[{"name":"c","tier":0,"whole":"5s","wait":"2s"}],
	 "pools":[{"name":"p","kind":"service","slots":4}],"routes":[{"name":"r","path":"/r","pool":"p","class":"c"}]}`)
}

// TestDocumentAndKeysSurviveARestore accepts a document and withdraws a key through a host that is gone, and restores the store
// from a copy without both. The store must hold both again, and no host may go back, one that starts later included.
func TestDocumentAndKeysSurviveARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer time.Sleep(2 * time.Minute) // until the recovery of the store's clients has ended
		defer wg.Wait()
		defer cancel()
		clk := clock.NewWall()
		memory := store.NewMemory(clk)
		memory.Restore(memory.Snapshot()) // era 0 stands for a store without eras
		gone := repository.New(repository.Options{KV: repository.NewKV(store.New(memory.Backend(), store.Options{Clock: clk})), Now: time.Now})
		hosts := startHostsWith(ctx, t, &wg, &network{rand: rand.New(rand.NewPCG(1, 2)), conns: map[string]*conn{}}, 3, memory, true)
		_, _ = gone.Current(ctx) // a new client waits before it reads and writes
		time.Sleep(settleTime)
		clear, rec, err := gone.Issue(ctx, "laredo")
		is.NoErr(err)
		_, err = gone.Put(ctx, repository.Change{Source: documentText("first"), Operator: "maria"})
		is.NoErr(err)
		copied := memory.Snapshot()
		_, err = gone.Put(ctx, repository.Change{BaseRevision: 1, Source: documentText("second"), Operator: "maria"})
		is.NoErr(err)
		_, err = gone.Withdraw(ctx, rec.ID())
		is.NoErr(err)
		time.Sleep(settleTime)
		memory.Restore(copied)
		check := func(hosts []*host) {
			for _, h := range hosts {
				doc, revision := h.document.Load()
				is.Equal(revision, uint64(2))
				is.Equal(string(doc.Source()), string(documentText("second")))
				_, _, err := h.keys.Lookup(clear)
				is.Equal(kind.Of(err), kind.Withdrawn)
			}
		}
		late := startHostsWith(ctx, t, &wg, &network{rand: rand.New(rand.NewPCG(3, 4)), conns: map[string]*conn{}}, 1, memory, true)
		for range 60 { // a host that starts alone reads the store only
			time.Sleep(500 * time.Millisecond)
			check(hosts)
			if late[0].ready.IsReady() {
				check(late)
			}
		}
		check(late)
		rev, err := hosts[0].repository.Current(ctx)
		is.NoErr(err)
		is.Equal(rev.Number(), uint64(2))
		next, err := hosts[1].repository.Put(ctx, repository.Change{BaseRevision: 2, Source: documentText("third"), Operator: "jon"})
		is.NoErr(err)
		is.Equal(next.Number(), uint64(3))
	})
}

// TestChangeAtAHostThatMissedARestoreFails guards against a change of an operator that fails since its host hears only then that the
// store was restored. Hosts that do not watch the store have no other reason to ask it.
func TestChangeAtAHostThatMissedARestoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		defer time.Sleep(2 * time.Minute) // until the recovery of the store's clients has ended
		defer wg.Wait()
		defer cancel()
		memory := store.NewMemory(clock.NewWall())
		memory.Restore(memory.Snapshot()) // era 0 stands for a store without eras
		hosts := startHostsWith(ctx, t, &wg, &network{rand: rand.New(rand.NewPCG(1, 2)), conns: map[string]*conn{}}, 3, memory, false)
		time.Sleep(settleTime)
		memory.Restore(memory.Snapshot())
		_, _ = hosts[0].repository.Current(ctx) // it hears of the restore, and waits until others have written what was lost
		time.Sleep(10 * time.Second)
		era, _ := hosts[0].store.Era()
		for _, h := range hosts {
			own, _ := h.store.Era()
			is.Equal(own, era)
			_, _, err := h.repository.Issue(ctx, "laredo")
			is.NoErr(err)
		}
	})
}
