package store

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

const (
	// journalRetention is how long a client remembers what it wrote, not counting the time during which the service is away. The
	// copy from which the service is restored may be that old for nothing of a living client to be lost.
	journalRetention = time.Minute
	// maxJournalBytes bounds the values that a client remembers; the oldest are forgotten first.
	maxJournalBytes = 16 << 20
	// restoreSettleTime is how long after a restore a client writes nothing new, so that all clients can first write again
	// what was lost. It is longer than a client takes to find out about the restore: restoreCheckDelay, or the longest back-off.
	restoreSettleTime = 5 * time.Second
	// restoreCheckDelay is how long after the last answer of the service a client with a journal asks whether it was restored.
	restoreCheckDelay = 4 * time.Second
)

// journal holds the last writes of a client that the service acknowledged, without those of keys that end with a lease. It holds
// no deletions: one that is lost in a restore comes undone.
type journal struct {
	mu        sync.Mutex
	writes    map[string]journalWrite  // by key
	attempted map[string]time.Duration // keys that the client tried to write, with the boot time; their outcome may show later
	bytes     int
}

// journalWrite is the last acknowledged write of a key.
type journalWrite struct {
	at       time.Duration // boot time
	era      uint64        // in which the write is known to be in the service
	envelope envelope
	older    map[string]time.Duration // nonces of earlier writes of the key, with the boot time at which they were replaced
}

// record records that the write of an envelope was acknowledged.
func (j *journal) record(now time.Duration, era uint64, key string, e envelope) {
	j.mu.Lock()
	defer j.mu.Unlock()
	w := journalWrite{at: now, era: era, envelope: e, older: map[string]time.Duration{}}
	if last, ok := j.writes[key]; ok {
		j.bytes -= len(last.envelope.Value)
		w.older[last.envelope.Nonce] = now
		for nonce, at := range last.older {
			if now-at <= journalRetention {
				w.older[nonce] = at
			}
		}
	}
	for _, p := range e.PriorWrites {
		if _, ok := w.older[p.Nonce]; !ok {
			w.older[p.Nonce] = now
		}
	}
	j.writes[key] = w
	j.bytes += len(e.Value)
	j.expire(now, era)
}

// recentKey returns a key that was written within journalRetention; ok is false if there is none.
func (j *journal) recentKey(now time.Duration) (key string, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, w := range j.writes {
		if now-w.at <= journalRetention {
			return key, true
		}
	}
	return "", false
}

// attempt records that a key is about to be written.
func (j *journal) attempt(now time.Duration, key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempted[key] = now
}

// adopt records a write of this client that was read from the service, if it is later than the last one in the journal: its
// outcome was not known, or the service took it after a restore that the client had not seen.
func (j *journal) adopt(now time.Duration, era uint64, key string, e envelope, noncePrefix string) {
	seq, own := nonceSeq(e.Nonce, noncePrefix)
	if !own {
		return
	}
	j.mu.Lock()
	last, known := j.writes[key]
	_, attempted := j.attempted[key]
	j.mu.Unlock()
	if lastSeq, _ := nonceSeq(last.envelope.Nonce, noncePrefix); attempted && (!known || lastSeq < seq) {
		j.record(now, era, key, e)
	}
}

// forget removes a key that was deleted.
func (j *journal) forget(key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drop(key)
}

// touch records that a write is in the service again, for a further restore from a copy without it.
func (j *journal) touch(now time.Duration, era uint64, key, nonce string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w, ok := j.writes[key]; ok && w.envelope.Nonce == nonce {
		w.at, w.era = now, era
		j.writes[key] = w
	}
}

// expire drops the writes that are too old or too many. Those that are not known to be in the service in the given era stay
// for the recovery. The caller holds the lock.
func (j *journal) expire(now time.Duration, era uint64) {
	for key, w := range j.writes {
		if w.era == era && now-w.at > journalRetention {
			j.drop(key)
		}
	}
	maps.DeleteFunc(j.attempted, func(_ string, at time.Duration) bool { return now-at > journalRetention })
	for j.bytes > maxJournalBytes {
		j.drop(slices.MinFunc(slices.Collect(maps.Keys(j.writes)), func(a, b string) int { return int(j.writes[a].at - j.writes[b].at) }))
	}
}

func (j *journal) drop(key string) {
	j.bytes -= len(j.writes[key].envelope.Value)
	delete(j.writes, key)
}

// recent returns the writes that were not older than journalRetention at the boot time until, with their keys in order.
func (j *journal) recent(until time.Duration) (keys []string, writes map[string]journalWrite) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, w := range j.writes {
		if until-w.at > journalRetention {
			j.drop(key)
		}
	}
	return slices.Sorted(maps.Keys(j.writes)), maps.Clone(j.writes)
}

// restoredWrites counts what a client did with its journal after a restore.
type restoredWrites struct {
	present, written, superseded int
}

// recover writes again what the service acknowledged to this client and lost in a restore. It repeats until all of the
// journal is dealt with, a later era begins or ctx ends. The era before was last heard at the boot time until.
func (c *Client) recover(ctx context.Context, era uint64, until time.Duration) {
	var counts restoredWrites
	keys, writes := c.shared.journal.recent(until)
	for _, key := range keys {
		for tries := 0; ctx.Err() == nil; tries++ {
			if now, _ := c.shared.eras.current(); now != era {
				return
			}
			err := c.recoverKey(ctx, key, writes[key], &counts)
			if err == nil {
				break
			}
			sleep(ctx, c.shared.backoff(tries))
		}
	}
	c.shared.opts.Log.Info("writes checked after a restore of the store", zap.Uint64("era", era), zap.Int("present", counts.present),
		zap.Int("written", counts.written), zap.Int("superseded", counts.superseded))
}

// recoverKey writes a key again, unless the write or a later one is in the store. An error means that it has to be called
// again.
func (c *Client) recoverKey(ctx context.Context, key string, last journalWrite, counts *restoredWrites) error {
	e, env, err := c.read(ctx, key, c.call)
	missing := kind.Of(err) == kind.Missing
	if err != nil && !missing {
		return err
	}
	cond := Absent()
	if !missing {
		if env.Nonce == last.envelope.Nonce {
			counts.present++
			c.shared.journal.touch(c.shared.opts.Clock.Boot(), EraOf(e.revision), key, env.Nonce)
			return nil
		}
		if _, ok := last.older[env.Nonce]; !ok && last.envelope.base() <= env.base() {
			counts.superseded++
			return nil
		}
		cond = At(e.revision)
	}
	rev, err := c.writeAgain(ctx, key, last.envelope, cond)
	if err == nil {
		counts.written++
		c.shared.journal.touch(c.shared.opts.Clock.Boot(), EraOf(rev), key, last.envelope.Nonce)
	}
	return err
}

func (c *Client) writeAgain(ctx context.Context, key string, e envelope, cond Condition) (rev uint64, err error) {
	data, err := encodeEnvelope(e)
	if err != nil {
		return 0, err
	}
	err = c.call(ctx, opPut, func(ctx context.Context) (err error) {
		rev, err = c.shared.backend.Put(ctx, Write{Key: key, Value: data, Cond: cond})
		return err
	})
	if err == nil {
		c.shared.rememberWrite(key, rev, e)
	}
	return rev, err
}

// readRecovered calls read, and calls it again if the service was restored meanwhile. Leases do not wait for a recovery, since
// their holders settle, and neither does the recovery itself.
func (c *Client) readRecovered(ctx context.Context, read func() error) error {
	if c.use == UseLease || c.use == UseRecovery {
		return read()
	}
	waitCtx, cancel := context.WithTimeout(ctx, c.shared.opts.TotalTimeout)
	defer cancel()
	for {
		if err := c.AwaitRecovery(waitCtx); err != nil {
			return err
		}
		before := c.shared.lastRecovery()
		err := read()
		if c.shared.lastRecovery() == before {
			return err
		}
	}
}

// awaitRecovery waits until the client may write after a restore, unless its writes belong to the recovery. A client that was
// started lately commits usage at once, since nobody else has written its keys.
func (c *Client) awaitRecovery(ctx context.Context) error {
	if c.use == UseRecovery || c.use == UseUsage && !c.shared.hasSeenRestore() {
		return nil
	}
	return c.AwaitRecovery(ctx)
}

// AwaitRecovery waits until the hosts have written again what was lost in a restore of the service. It returns at once without a
// restore; a client that was started lately waits as after one. The error has kind Store if ctx ends first.
func (c *Client) AwaitRecovery(ctx context.Context) error { return c.shared.awaitRecovery(ctx) }

func (c *sharedState) awaitRecovery(ctx context.Context) error {
	var done chan struct{}
	for {
		recovery := c.lastRecovery()
		if recovery == done {
			return nil
		}
		select {
		case <-recovery:
			done = recovery
		case <-ctx.Done():
			return kind.Wrap(ctx.Err(), kind.Store, "the store was restored; lost writes are written again first")
		}
	}
}

// hasSeenRestore reports whether the service was restored since this client was started.
func (c *sharedState) hasSeenRestore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seenRestore
}

// checkForRestore asks the service for its era whenever it has not answered for restoreCheckDelay, until nothing was written for
// journalRetention. It schedules its next run itself.
func (c *sharedState) checkForRestore() {
	now := c.opts.Clock.Boot()
	key, ok := c.journal.recentKey(now)
	if !ok {
		c.checking.Store(false)
		return
	}
	wait := restoreCheckDelay - (now - time.Duration(c.lastResponse.Load()))
	if wait <= 0 {
		recovering := &Client{shared: c, use: UseRecovery}
		_, _, _ = recovering.read(context.Background(), key, recovering.call) // only the era of the answer matters
		wait = restoreCheckDelay
	}
	time.AfterFunc(wait, c.checkForRestore)
}

// CheckForRestore asks the service for its era, so that the recovery after a restore begins, unless the client knows of the given era
// or a later one.
func (c *Client) CheckForRestore(ctx context.Context, era uint64) {
	if known, _ := c.Era(); known >= era {
		return
	}
	recovering := &Client{shared: c.shared, use: UseRecovery}
	_, _, _ = recovering.read(ctx, eraProbeKey, recovering.retry) // only the era of the answer matters
}

// eraProbeKey is a key that is read for the era of the answer. It need not exist.
const eraProbeKey = "era"

// lastRecovery returns the channel that is closed when writes may go on after the last restore, nil without one.
func (c *sharedState) lastRecovery() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recovery
}

// handleRestore starts the recovery after a new era was seen. A client that starts cannot tell whether the restore is over for
// the others, so it waits as long.
func (c *sharedState) handleRestore(era uint64, first bool, until time.Duration) {
	writable, recovered := make(chan struct{}), make(chan struct{})
	c.mu.Lock()
	c.recovery = writable
	c.seenRestore = c.seenRestore || !first
	c.mu.Unlock()
	go func() {
		defer close(recovered)
		ctx, cancel := context.WithTimeout(context.Background(), journalRetention)
		defer cancel()
		recovering := &Client{shared: c, use: UseRecovery}
		recovering.recover(ctx, era, until)
		sleep(ctx, restoreSettleTime)
		recovering.recover(ctx, era, until) // writes that were acknowledged just when the new era was seen
	}()
	go func() {
		defer close(writable)
		select {
		case <-recovered:
		case <-time.After(restoreSettleTime + maxRecoveryWait):
		}
	}()
	if !first {
		go c.opts.OnRestore(era)
	}
}

// maxRecoveryWait bounds how long writes wait for the recovery of a client that the service does not answer.
const maxRecoveryWait = 20 * time.Second
