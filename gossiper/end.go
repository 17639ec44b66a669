package gossiper

import (
	"context"
	"net"
)

// endReports is how often the end is reported, in case datagrams are lost.
const endReports = 3

// End reports to the peers that this process admits no more requests, so that they need not keep its
// part of caps for it. No report follows.
func (gossiper *Gossiper) End(ctx context.Context) {
	gossiper.endOnce.Do(func() { close(gossiper.ending) })

	select {
	case <-gossiper.ended:
	case <-ctx.Done():
	}
}

func (gossiper *Gossiper) isEnding() bool {
	select {
	case <-gossiper.ending:
		return true
	default:
		return false
	}
}

// reportEnd sends the reports that follow the last one.
func (gossiper *Gossiper) reportEnd(socket *net.UDPConn, last Report) {
	if gossiper.Enforcer == nil || !gossiper.isEnding() {
		return
	}

	end := gossiper.Enforcer.ReportEnd()
	if end == nil {
		return
	}

	for number := range int64(endReports) {
		gossiper.broadcast(socket, Report{
			Instance: last.Instance, Incarnation: last.Incarnation, Number: last.Number + number + 1, Since: last.Number, Caps: end,
		})
	}
}
