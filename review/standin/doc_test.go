// Package review holds the scripts of the review and the stand-ins that they run against: a key-value store, a control API,
// upstream engines, a resetting proxy and callers. The programs under test are real processes, started with the command of the
// deploy file.
package review
