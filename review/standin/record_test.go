package review

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var recordMu sync.Mutex

// recordFile holds what was sent, answered and run.
var recordFile *os.File

func openRecord() error {
	f, err := os.Create(filepath.Join(os.Getenv("CASE"), "record.txt"))
	recordFile = f
	return err
}

// record adds a line to the record.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%9.3f "+format+"\n", append([]any{time.Since(begin).Seconds()}, args...)...)
}
