package peer

import "github.com/VictoriaMetrics/metrics"

// Counters of messages to and from other hosts.
var (
	sentMessages     = metrics.NewCounter("hickorypath_peer_sent_messages_total")
	sentBytes        = metrics.NewCounter("hickorypath_peer_sent_bytes_total")
	receivedMessages = metrics.NewCounter("hickorypath_peer_received_messages_total")
	receivedBytes    = metrics.NewCounter("hickorypath_peer_received_bytes_total")
	droppedMessages  = metrics.NewCounter("hickorypath_peer_dropped_messages_total") // no connection, queue full or too many stream writes
	refusedMessages  = metrics.NewCounter("hickorypath_peer_refused_messages_total")
	dials            = metrics.NewCounter("hickorypath_peer_dials_total")
	failedDials      = metrics.NewCounter("hickorypath_peer_failed_dials_total")
)
