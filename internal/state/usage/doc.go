// Package usage records the tokens that customers used and reports the totals of each time window to the platform.
//
// Each host commits its usage in batches to segments of its own in the store. A segment holds totals of one host
// for one window. Every host runs a reporter, and a lease lets only one of them report at a time. The reporter seals
// the segments of windows that have ended, so that no usage is added to them, stores their sum as the frozen totals
// of the window and sends these to the platform.
package usage
