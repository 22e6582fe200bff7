//! UTC times as RFC 3339 text with milliseconds.

use std::fmt;

const MS_PER_SECOND: u64 = 1_000;
const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_HOUR: u64 = 3_600;
const SECONDS_PER_DAY: u64 = 86_400;

/// Days from 0000-03-01 to 1970-01-01. Years begin in March here, so that a leap day is the last day of a year.
const DAYS_TO_EPOCH: u64 = 719_468;
/// Days in an era of 400 years, after which the calendar repeats.
const DAYS_PER_ERA: u64 = 146_097;
const YEARS_PER_ERA: u64 = 400;

/// A UTC time in milliseconds since 1970-01-01.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Utc(pub u64);

impl fmt::Display for Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / MS_PER_SECOND;
        let Date { year, month, day } = Date::of(seconds / SECONDS_PER_DAY);
        let second_of_day = seconds % SECONDS_PER_DAY;
        let hour = second_of_day / SECONDS_PER_HOUR;
        let minute = second_of_day % SECONDS_PER_HOUR / SECONDS_PER_MINUTE;
        let second = second_of_day % SECONDS_PER_MINUTE;
        let ms = self.0 % MS_PER_SECOND;
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z"
        )
    }
}

struct Date {
    year: u64,
    month: u64,
    day: u64,
}

impl Date {
    /// The date of a day, given in days since 1970-01-01.
    fn of(day: u64) -> Date {
        let days = day + DAYS_TO_EPOCH;
        let day_of_era = days % DAYS_PER_ERA;
        // Subtracts the leap days: one every 1,461 days, except every 36,524 days, except every 146,097 days.
        let year_of_era =
            (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        // From March on, the months repeat the lengths 31, 30, 31, 30, 31: 153 days in five months.
        let month_from_march = (5 * day_of_year + 2) / 153;
        let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
        let month = if month_from_march < 10 {
            month_from_march + 3
        } else {
            month_from_march - 9
        };
        let january_or_february = u64::from(month <= 2);
        let year = year_of_era + days / DAYS_PER_ERA * YEARS_PER_ERA + january_or_february;
        Date { year, month, day }
    }
}

#[cfg(test)]
mod tests;
