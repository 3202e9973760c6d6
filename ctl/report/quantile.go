package report

import "sort"

// bucketCounts maps the upper bound of each histogram bucket to its cumulative
// count, summed over all label values.
type bucketCounts map[float64]float64

func (f families) histogram(name string) bucketCounts {
	counts := bucketCounts{}
	for _, metric := range f[name].GetMetric() {
		for _, bucket := range metric.GetHistogram().GetBucket() {
			counts[bucket.GetUpperBound()] += float64(bucket.GetCumulativeCount())
		}
	}
	return counts
}

// add adds the counts of the other histogram, multiplied by sign. With -1 it
// subtracts them.
func (c bucketCounts) add(other bucketCounts, sign float64) {
	for bound, count := range other {
		c[bound] += sign * count
	}
}

// quantile returns the upper bound of the bucket that contains the q-quantile. It
// returns false for an empty histogram.
func (c bucketCounts) quantile(q float64) (float64, bool) {
	bounds := make([]float64, 0, len(c))
	for bound := range c {
		bounds = append(bounds, bound)
	}
	sort.Float64s(bounds)
	if len(bounds) == 0 || c[bounds[len(bounds)-1]] <= 0 {
		return 0, false
	}
	total := c[bounds[len(bounds)-1]]
	for _, bound := range bounds {
		if c[bound] >= q*total {
			return bound, true
		}
	}
	return bounds[len(bounds)-1], true
}
