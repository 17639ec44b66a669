package pacer

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the arrival rate. It is long enough that a
// thundering herd doesn't count as a lasting load.
const rateTimeConstant = 2 * time.Second

// arrivals measures the arrival rate with exponential decay.
type arrivals struct {
	count float64
	last  time.Time
}

func (arrivals *arrivals) add(now time.Time) {
	arrivals.count = 1 + arrivals.decayed(now)
	arrivals.last = now
}

// rate returns the arrivals per second.
func (arrivals *arrivals) rate(now time.Time) float64 {
	return arrivals.decayed(now) / rateTimeConstant.Seconds()
}

func (arrivals *arrivals) decayed(now time.Time) float64 {
	return arrivals.count * math.Exp(-now.Sub(arrivals.last).Seconds()/rateTimeConstant.Seconds())
}
