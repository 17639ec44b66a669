package surveyor

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

// repeats is how often a survey is run by default, for the spread.
const repeats = 5

// Cost is what one size of a survey took.
type Cost struct {
	// Processor is the processor time of the whole process.
	Processor time.Duration
	// Bytes is what stayed on the heap and on stacks, or went over the wire.
	Bytes float64
}

// Survey measures one cost at several sizes.
type Survey struct {
	Name string
	// Per names the size that grows, for example "replica".
	Per   string
	Sizes []int
	// Repeats is how often the survey is run; 0 for five times.
	Repeats int
	// Measure returns the cost of one size. The work behind it is bounded.
	Measure func(size int) (Cost, error)
}

// Slope is how one cost grows with the size.
type Slope struct {
	// PerUnit is the median over all repeats of the least squares slope: the
	// cost of one more of what grows.
	PerUnit float64
	// Lowest and Highest are the extremes over the repeats.
	Lowest  float64
	Highest float64
	// Exponent is the slope on logarithmic axes between the smallest and the
	// largest size: 0 constant, 1 linear, 2 quadratic.
	Exponent float64
}

// Run measures a survey and prints its rows: one for processor time and one for
// bytes, as far as they were measured.
func (survey Survey) Run(out io.Writer) error {
	processor, bytes := [][]float64{}, [][]float64{}

	rounds := survey.Repeats
	if rounds == 0 {
		rounds = repeats
	}

	for range rounds {
		times, heaps := []float64{}, []float64{}

		for _, size := range survey.Sizes {
			cost, err := survey.Measure(size)
			if err != nil {
				return errors.Annotatef(err, "survey %s at %d", survey.Name, size)
			}

			times = append(times, cost.Processor.Seconds())
			heaps = append(heaps, cost.Bytes)
		}

		processor = append(processor, times)
		bytes = append(bytes, heaps)
	}

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	survey.row(table, "processor", "µs", processor, 1e6)
	survey.row(table, "bytes", "B", bytes, 1)

	return errors.Trace(table.Flush())
}

func (survey Survey) row(out io.Writer, kind, unit string, costs [][]float64, scale float64) {
	if slices.Max(costs[0]) == 0 {
		return
	}

	slope := Fit(survey.Sizes, costs)
	fmt.Fprintf(out, "%s\t%s\tsizes %v\tat largest %.4g %s\tper %s %.4g %s (%.4g to %.4g)\texponent %.2f\n",
		survey.Name, kind, survey.Sizes, median(last(costs))*scale, unit, survey.Per,
		slope.PerUnit*scale, unit, slope.Lowest*scale, slope.Highest*scale, slope.Exponent)
}

// Fit returns the slope of costs, a row for each repeat, over the sizes.
func Fit(sizes []int, costs [][]float64) Slope {
	slopes, exponents := []float64{}, []float64{}

	for _, row := range costs {
		slopes = append(slopes, leastSquares(sizes, row))

		top := len(sizes) - 1
		if row[0] > 0 && row[top] > 0 {
			exponents = append(exponents, math.Log(row[top]/row[0])/math.Log(float64(sizes[top])/float64(sizes[0])))
		}
	}

	slope := Slope{PerUnit: median(slopes), Lowest: slices.Min(slopes), Highest: slices.Max(slopes)}
	if len(exponents) > 0 {
		slope.Exponent = median(exponents)
	}

	return slope
}

func leastSquares(sizes []int, costs []float64) float64 {
	meanSize, meanCost := 0.0, 0.0

	for index, size := range sizes {
		meanSize += float64(size) / float64(len(sizes))
		meanCost += costs[index] / float64(len(sizes))
	}

	above, below := 0.0, 0.0

	for index, size := range sizes {
		above += (float64(size) - meanSize) * (costs[index] - meanCost)
		below += (float64(size) - meanSize) * (float64(size) - meanSize)
	}

	return above / below
}

func last(costs [][]float64) []float64 {
	column := []float64{}
	for _, row := range costs {
		column = append(column, row[len(row)-1])
	}

	return column
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))

	return sorted[len(sorted)/2]
}

// processorTime is the processor time that this process has used.
func processorTime() time.Duration {
	usage := syscall.Rusage{}
	// Getrusage fails only for a wrong first argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory is what the heap and the stacks hold after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()

	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc + stats.StackInuse)
}

// repeated is the processor time of one call of work, over that many calls.
func repeated(times int, work func()) time.Duration {
	start := processorTime()

	for range times {
		work()
	}

	return (processorTime() - start) / time.Duration(times)
}
