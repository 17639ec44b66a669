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

// defaultRepeats is how often a survey is repeated by default, to show the
// spread of the results.
const defaultRepeats = 5

// Cost is the cost of one operation, one second or one state at one size.
type Cost struct {
	// ProcessorTime is the user and system time of the measured process.
	ProcessorTime time.Duration
	// Bytes is the memory retained on the heap and stacks or resident, or the
	// bytes sent or encoded.
	Bytes float64
}

// Survey measures one cost at several sizes, to find how it grows.
type Survey struct {
	Name string
	// Unit names what the size counts, for example "replica".
	Unit  string
	Sizes []int
	// Repeats is how often the survey is repeated; 0 means defaultRepeats.
	Repeats int
	// Measure returns the cost at one size, in a bounded number of operations.
	Measure func(size int) (Cost, error)
}

// Slope describes how a cost grows with the size.
type Slope struct {
	// PerUnit is the cost of one more unit: the median over all repeats of the
	// least squares slope.
	PerUnit float64
	// Lowest and Highest are the lowest and highest slope over the repeats.
	Lowest  float64
	Highest float64
	// Exponent is the slope on logarithmic axes between the smallest and the
	// largest size: 0 for constant, 1 for linear, 2 for quadratic growth.
	Exponent float64
}

// Run runs the survey and prints one row for processor time and one for bytes,
// leaving out a cost that it doesn't measure.
func (survey Survey) Run(out io.Writer) error {
	processorTimes, byteCounts := [][]float64{}, [][]float64{}

	repeats := survey.Repeats
	if repeats == 0 {
		repeats = defaultRepeats
	}

	for range repeats {
		repeatTimes, repeatBytes := []float64{}, []float64{}

		for _, size := range survey.Sizes {
			cost, err := survey.Measure(size)
			if err != nil {
				return errors.Annotatef(err, "measuring survey %s at size %d", survey.Name, size)
			}

			repeatTimes = append(repeatTimes, cost.ProcessorTime.Seconds())
			repeatBytes = append(repeatBytes, cost.Bytes)
		}

		processorTimes = append(processorTimes, repeatTimes)
		byteCounts = append(byteCounts, repeatBytes)
	}

	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	survey.printRow(table, "processor", "µs", processorTimes, 1e6)
	survey.printRow(table, "bytes", "B", byteCounts, 1)

	return errors.Trace(table.Flush())
}

func (survey Survey) printRow(out io.Writer, kind, costUnit string, costs [][]float64, scale float64) {
	if slices.Max(costs[0]) == 0 {
		return
	}

	slope := Fit(survey.Sizes, costs)
	fmt.Fprintf(out, "%s\t%s\tsizes %v\tat largest %.4g %s\tper %s %.4g %s (%.4g to %.4g)\texponent %.2f\n",
		survey.Name, kind, survey.Sizes, median(lastColumn(costs))*scale, costUnit, survey.Unit,
		slope.PerUnit*scale, costUnit, slope.Lowest*scale, slope.Highest*scale, slope.Exponent)
}

// Fit returns the slope of the costs over the sizes. costs has a row for each
// repeat and a column for each size.
func Fit(sizes []int, costs [][]float64) Slope {
	slopes, exponents := []float64{}, []float64{}

	for _, row := range costs {
		slopes = append(slopes, leastSquaresSlope(sizes, row))

		largest := len(sizes) - 1
		if row[0] > 0 && row[largest] > 0 {
			exponents = append(exponents, math.Log(row[largest]/row[0])/math.Log(float64(sizes[largest])/float64(sizes[0])))
		}
	}

	slope := Slope{PerUnit: median(slopes), Lowest: slices.Min(slopes), Highest: slices.Max(slopes)}
	if len(exponents) > 0 {
		slope.Exponent = median(exponents)
	}

	return slope
}

func leastSquaresSlope(sizes []int, costs []float64) float64 {
	meanSize, meanCost := 0.0, 0.0

	for index, size := range sizes {
		meanSize += float64(size) / float64(len(sizes))
		meanCost += costs[index] / float64(len(sizes))
	}

	covariance, variance := 0.0, 0.0

	for index, size := range sizes {
		covariance += (float64(size) - meanSize) * (costs[index] - meanCost)
		variance += (float64(size) - meanSize) * (float64(size) - meanSize)
	}

	return covariance / variance
}

func lastColumn(costs [][]float64) []float64 {
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

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	usage := syscall.Rusage{}
	// Getrusage fails only on an invalid first argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes in use by the heap and the stacks after a
// garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()

	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTimePerCall returns the mean processor time of a call of work, over
// the given number of calls.
func processorTimePerCall(calls int, work func()) time.Duration {
	start := processorTime()

	for range calls {
		work()
	}

	return (processorTime() - start) / time.Duration(calls)
}
