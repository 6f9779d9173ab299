// Package knownfailure looks up tests in the list of known failures, so that a test can tolerate a failure that is
// listed there.
package knownfailure

import (
	"os"
	"path/filepath"
	"strings"
)

// listFile is the name of the list in the root directory of the repository.
const listFile = "KNOWN-RED.txt"

// IsListed reports whether the list of known failures contains the name of a test. Since a test runs in the directory
// of its package, IsListed looks for the list in the working directory and then in each parent directory. Without a
// list it returns false. The error is that of reading the list.
func IsListed(test string) (bool, error) {
	dir, err := os.Getwd()
	if err != nil {
		return false, err
	}
	for {
		data, err := os.ReadFile(filepath.Join(dir, listFile))
		switch {
		case err == nil:
			return strings.Contains(string(data), test), nil
		case !os.IsNotExist(err):
			return false, err
		case filepath.Dir(dir) == dir:
			return false, nil
		}
		dir = filepath.Dir(dir)
	}
}
