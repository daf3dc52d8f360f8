"""The release desk: rolls builds out in stages by votes, and has instances started and stopped."""
